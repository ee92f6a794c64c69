package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/model"
)

func record(c config.Change) []byte {
	data, err := json.Marshal(config.Record{Change: &c})
	if err != nil {
		panic(err)
	}
	return data
}

// Two operators create the same customer; all nodes accept only the first
// record.
func ExampleReader() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r := config.NewReader(now)
	r.ApplyLogBatch(now, config.Batch{First: 0, End: 2, Records: [][]byte{
		record(config.Change{ID: "x", Kind: model.KindCustomer, Name: "press", Body: json.RawMessage(`{"rate":40,"burst":80}`)}),
		record(config.Change{ID: "y", Kind: model.KindCustomer, Name: "press", Body: json.RawMessage(`{"rate":10,"burst":20}`)}),
	}})
	out, _ := r.Outcome("y")
	age, _ := r.Age(now.Add(time.Second))
	fmt.Println(r.View().Customers["press"].Rate, out.Accepted, out.Revision, age)
	// Output: 40 false 1 1s
}

var sizes = []int{100, 1000, 10000}

func records(n int) [][]byte {
	var recs [][]byte
	for i := range n {
		c := config.Change{ID: fmt.Sprintf("%026d", i), Kind: model.KindCustomer, Name: fmt.Sprintf("customer%05d", i)}
		c.Body = json.RawMessage(`{"rate":40,"burst":80,"labels":{"tier":"gold"}}`)
		recs = append(recs, record(c))
	}
	return recs
}

func BenchmarkReaderLog(b *testing.B) {
	for _, n := range sizes {
		recs := records(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r := config.NewReader(time.Time{})
				r.ApplyLogBatch(time.Time{}, config.Batch{End: uint64(n), Records: recs})
			}
		})
	}
}

// BenchmarkView measures a view after one change.
func BenchmarkView(b *testing.B) {
	for _, n := range sizes {
		s := config.NewState()
		for i, data := range records(n) {
			s.Apply(uint64(i), data)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s.View() // the first view decodes all bodies
			b.ReportAllocs()
			for b.Loop() {
				id := config.ObjectID{Kind: model.KindCustomer, Name: "customer00000"}
				c := config.Change{ID: fmt.Sprint(s.Next), Kind: id.Kind, Name: id.Name, Base: s.Objects[id].Revision}
				c.Body = json.RawMessage(`{"rate":40,"burst":80}`)
				s.Apply(s.Next, record(c))
				s.View()
			}
		})
	}
}

func BenchmarkSnapshotEncode(b *testing.B) {
	for _, n := range sizes {
		s := config.NewState()
		for i, data := range records(n) {
			s.Apply(uint64(i), data)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := s.Snapshot().Encode("id"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

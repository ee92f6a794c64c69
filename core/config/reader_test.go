package config

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"dogwoodsill.org/core/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func customerChange(id, name string, base uint64, rate float64) Change {
	body := encode(model.Customer{Rate: rate, Burst: 5})
	return Change{ID: id, Kind: model.KindCustomer, Name: name, Base: base, Body: body}
}

// stream is a log with the states of a node that applied every record: the
// initial one and the one after each record.
type stream struct {
	records [][]byte
	first   uint64 // offset of the first retained record
	states  []Snapshot
	state   *State
}

func newStream() *stream {
	s := &stream{state: NewState()}
	s.states = append(s.states, s.state.Snapshot())
	return s
}

func (s *stream) append(records ...[]byte) {
	for _, data := range records {
		s.state.Apply(uint64(len(s.records)), data)
		s.records = append(s.records, data)
		s.states = append(s.states, s.state.Snapshot())
	}
}

func (s *stream) end() uint64 {
	return uint64(len(s.records))
}

func (s *stream) batch(from, to uint64) Batch {
	return Batch{First: from, End: s.end(), Records: s.records[from:to]}
}

// readAll reads the log to its end as a node does.
func (s *stream) readAll(r *Reader, now time.Time) {
	for range 2 {
		if r.Next() < s.first {
			r.SetFirstRetained(s.first)
		}
		if r.Next() <= s.end() {
			r.ApplyLogBatch(now, s.batch(r.Next(), s.end()))
		}
	}
}

// addRecord appends random records: changes with current and stale bases,
// changes repeated as after a lost response, snapshots whole and in parts, and
// damaged records.
func (s *stream) addRecord(t *rapid.T) {
	n := s.end()
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	cur := s.state.Objects[ObjectID{Kind: model.KindCustomer, Name: name}].Revision
	c := customerChange(fmt.Sprintf("id%d", n), name, cur, float64(n+1))
	switch rapid.SampledFrom([]string{"change", "race", "repeat", "delete", "bad", "damage", "snapshot", "parts", "future"}).Draw(t, "record") {
	case "change":
		s.append(encode(Record{Change: &c}))
	case "race":
		other := customerChange(c.ID+"x", name, cur, 0.5)
		s.append(encode(Record{Change: &other}), encode(Record{Change: &c}))
	case "repeat":
		again := encode(Record{Change: &c})
		if n > 0 {
			again = s.records[rapid.IntRange(0, int(n)-1).Draw(t, "index")]
		}
		// A snapshot with wrong content must not be repeated after its offset:
		// there it can't be distinguished from a correct one.
		if !bytes.Contains(again, []byte("false")) {
			s.append(again)
		}
	case "delete":
		c.Delete, c.Body = true, nil
		s.append(encode(Record{Change: &c}))
	case "bad":
		c.Body = []byte(`{"rate":-1}`)
		s.append(encode(Record{Change: &c}))
	case "damage":
		s.append([]byte(`{"change":`))
	case "snapshot":
		s.appendSnapshot(t, 1<<20)
	case "parts":
		s.appendSnapshot(t, 150)
	case "future":
		s.append(encode(Record{Snapshot: &Snapshot{ID: "false", Offset: n + uint64(rapid.IntRange(1, 5).Draw(t, "ahead"))}}))
	}
}

// appendSnapshot appends a snapshot of a node that may lag behind. Other records
// may come between its parts, and the first part may be repeated.
func (s *stream) appendSnapshot(t *rapid.T, limit int) {
	lag := rapid.IntRange(0, min(4, int(s.end()))).Draw(t, "lag")
	parts, err := s.states[int(s.end())-lag].encode(fmt.Sprint(s.end()), limit)
	assert.NilError(t, err)
	for i, part := range parts {
		if i > 0 && rapid.Bool().Draw(t, "between") {
			c := customerChange(fmt.Sprintf("id%d", s.end()), "d", s.state.Objects[ObjectID{Kind: model.KindCustomer, Name: "d"}].Revision, 3)
			s.append(encode(Record{Change: &c}), parts[0])
		}
		s.append(part)
	}
}

// deliver passes a random batch, snapshot or first retained offset to a reader.
func (s *stream) deliver(t *rapid.T, r *Reader, now time.Time) {
	from := uint64(rapid.IntRange(0, int(s.end())).Draw(t, "from"))
	to := uint64(rapid.IntRange(int(from), int(s.end())).Draw(t, "to"))
	switch rapid.SampledFrom([]string{"read", "late", "expired", "peer", "peerSnapshot"}).Draw(t, "deliver") {
	case "read":
		if next := r.Next(); next >= s.first && next <= to {
			r.ApplyLogBatch(now, s.batch(next, to))
		}
	case "late":
		r.ApplyLogBatch(now, s.batch(from, to))
	case "expired":
		if s.first > 0 {
			r.SetFirstRetained(uint64(rapid.IntRange(1, int(s.first)).Draw(t, "first")))
		}
	case "peer":
		r.ApplyPeerBatch(now, s.batch(from, to))
	case "peerSnapshot":
		r.ApplyPeerSnapshot(now, s.states[to], time.Second)
	}
}

// Guards invariant I12: in whatever order records and snapshots are delivered,
// the state of a node equals that after all records up to its offset and never
// goes back, and finally all nodes hold the same state.
func TestAllOrdersGiveOneState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStream()
		readers := []*Reader{NewReader(start), NewReader(start), NewReader(start)}
		offsets := make([]uint64, len(readers))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				s.addRecord(t)
			case 4:
				s.first = uint64(rapid.IntRange(int(s.first), int(s.end())).Draw(t, "first"))
			case 5:
				readers[i], offsets[i] = NewReader(start), 0 // restart
			default:
				s.deliver(t, readers[i], start)
			}
			r := readers[i]
			assert.Assert(t, r.Offset() >= offsets[i], "the state went back to an earlier offset")
			offsets[i] = r.Offset()
			assert.DeepEqual(t, r.Snapshot(), s.states[r.Offset()])
		}
		s.appendSnapshot(t, 150) // covers all records that expired before
		for _, r := range readers {
			s.readAll(r, start)
			if !r.HasGap() {
				assert.DeepEqual(t, r.Snapshot(), s.states[s.end()])
			}
		}
		single := newStream()
		single.append(s.records...)
		assert.DeepEqual(t, single.state.Snapshot(), s.state.Snapshot())
	})
}

// Guards against a fleet whose nodes can't restart after records expired.
func TestRestartOfAllNodes(t *testing.T) {
	s := newStream()
	for i := range 20 {
		c := customerChange(fmt.Sprint(i), fmt.Sprintf("c%d", i), 0, 1)
		s.append(encode(Record{Change: &c}))
	}
	parts, err := s.states[17].encode("x", 300)
	assert.NilError(t, err)
	assert.Assert(t, len(parts) > 3)
	s.append(parts...)
	tests := []struct {
		first uint64
		gap   bool
	}{
		{first: 0},
		{first: 5},
		{first: 17},
		{first: 18, gap: true}, // record 17 is neither covered by the snapshot nor in the log
		{first: 21, gap: true}, // the first part has expired
	}
	for _, test := range tests {
		s.first = test.first
		r := NewReader(start)
		s.readAll(r, start)
		assert.Equal(t, r.HasGap(), test.gap, "%d", test.first)
		if test.gap {
			_, known := r.Age(start)
			assert.Assert(t, !known && r.Offset() == 0)
			assert.Assert(t, r.ApplyPeerSnapshot(start, s.states[s.first], 0)) // the snapshot of a peer closes the gap
			assert.Assert(t, !r.HasGap())
		}
		assert.DeepEqual(t, r.Snapshot(), s.states[s.end()])
	}
}

// Guards against a state that skips records.
func TestApplyRefusesGap(t *testing.T) {
	s := NewState()
	c := customerChange("a", "press", 0, 1)
	assert.Assert(t, s.Apply(1, encode(Record{Change: &c})) == nil)
	assert.Equal(t, s.Next, uint64(0))
	assert.Assert(t, s.Apply(0, encode(Record{Change: &c})).Accepted)
}

// Guards against two concurrent changes with different outcomes on different
// nodes.
func TestRacingChanges(t *testing.T) {
	s := newStream()
	a, b := customerChange("a", "press", 0, 1), customerChange("b", "press", 0, 2)
	s.append(encode(Record{Change: &a}), encode(Record{Change: &b}), encode(Record{Change: &a}))
	r := NewReader(start)
	s.readAll(r, start)
	won, _ := r.Outcome("a")
	lost, _ := r.Outcome("b")
	assert.DeepEqual(t, won, Outcome{ID: "a", Accepted: true, Revision: 1})
	assert.Assert(t, !lost.Accepted && lost.Revision == 1 && lost.Reason != "")
	assert.Equal(t, r.View().Customers["press"].Rate, 1.0)
}

// Guards against an age that is too low: it must count from the last time at
// which the state was known to be at the end of the log.
func TestAge(t *testing.T) {
	s := newStream()
	c := customerChange("a", "press", 0, 1)
	s.append(encode(Record{Change: &c}), encode(Record{Change: &c}))
	r := NewReader(start)
	_, known := r.Age(start)
	assert.Assert(t, !known)
	r.ApplyLogBatch(start, s.batch(0, 1)) // not at the end
	_, known = r.Age(start)
	assert.Assert(t, !known)
	r.ApplyPeerBatch(start, Batch{First: 1, End: 2, Records: s.records[1:], Age: 3 * time.Second})
	age, _ := r.Age(start.Add(time.Second))
	assert.Equal(t, age, 4*time.Second)
	r.ApplyLogBatch(start.Add(2*time.Second), Batch{First: 2, End: 3}) // the log has another record
	r.ApplyLogBatch(start.Add(2*time.Second), Batch{First: 2})         // end not known
	age, _ = r.Age(start.Add(2 * time.Second))
	assert.Equal(t, age, 5*time.Second)
	r.ApplyLogBatch(start.Add(2*time.Second), Batch{First: 2, End: 2})
	age, _ = r.Age(start.Add(2 * time.Second))
	assert.Equal(t, age, time.Duration(0))
	r.ApplyPeerSnapshot(start.Add(3*time.Second), s.states[2], time.Hour)
	age, _ = r.Age(start.Add(3 * time.Second))
	assert.Equal(t, age, time.Second)
}

// Guards against a snapshot record that is too large for the log.
func TestLargeSnapshotIsSplit(t *testing.T) {
	s := NewState()
	for i := range maxOutcomes {
		kind, body := model.KindKey, encode(model.Key{Customer: fmt.Sprintf("customer%04d", i%800), Digest: fmt.Sprintf("%064x", i)})
		if i >= 4000 {
			kind, body = model.KindCustomer, encode(model.Customer{Rate: float64(i), Burst: 100, Labels: map[string]string{"tier": "gold"}})
		}
		c := Change{ID: fmt.Sprintf("%026d", i), Kind: kind, Name: fmt.Sprintf("name%d", i%5000), Body: body}
		s.Apply(s.Next, encode(Record{Change: &c}))
	}
	snap := s.Snapshot()
	parts, err := snap.Encode("id")
	assert.NilError(t, err)
	total := 0
	var a snapshotAssembler
	var whole Snapshot
	for _, i := range []int{len(parts) - 1, 0} { // rotated order, and repeated
		for j := range parts {
			data := parts[(i+j)%len(parts)]
			assert.Assert(t, len(data) <= MaxRecordBytes, "%d", len(data))
			total += len(data)
			rec, err := Decode(data)
			assert.NilError(t, err)
			if got, ok := a.add(rec.Snapshot); ok {
				whole = got
			}
		}
	}
	t.Logf("%d objects, %d outcomes: %d bytes in %d parts", len(snap.Objects), len(snap.Outcomes), total/2, len(parts))
	assert.Assert(t, len(parts) > 1)
	whole.ID = ""
	assert.Assert(t, bytes.Equal(encode(whole), encode(snap)))
}

// Guards against records that expire before a snapshot covers them, and against
// every node appending a snapshot.
func TestSnapshotDue(t *testing.T) {
	p := DefaultSnapshotPolicy(24 * time.Hour)
	p.Changes = 100
	names := []string{"n0", "n1", "n2", "n3", "n4"}
	s := newStream()
	for i := range p.Changes {
		c := customerChange(fmt.Sprint(i), "press", uint64(i), 1)
		s.append(encode(Record{Change: &c}))
	}
	readers := map[string]*Reader{}
	for _, name := range names {
		readers[name] = NewReader(start)
	}
	run := func(from, to time.Time, up []string) (taken []time.Duration) {
		for now := from; now.Before(to); now = now.Add(p.Stagger / 2) {
			for _, name := range up {
				s.readAll(readers[name], now)
			}
			for _, name := range up { // all decide after the same records
				if !readers[name].SnapshotDue(now, p, name, names) {
					continue
				}
				parts, err := readers[name].Snapshot().Encode(name + now.String())
				assert.NilError(t, err)
				s.append(parts...)
				taken = append(taken, now.Sub(from))
			}
		}
		return taken
	}
	first := run(start, start.Add(10*time.Minute), names)
	assert.Equal(t, len(first), 1, "%v", first)
	rest := run(start.Add(10*time.Minute), start.Add(48*time.Hour), names)
	assert.Assert(t, len(rest) >= 5 && len(rest) <= 9, "%v", rest)
	gaps := append(slices.Clone(rest), 48*time.Hour)
	for i := range len(gaps) - 1 {
		assert.Assert(t, gaps[i+1]-gaps[i] < p.Retention/2)
	}
	single := run(start.Add(48*time.Hour), start.Add(60*time.Hour), names[3:4])
	assert.Assert(t, len(single) > 0, "no other node takes over from nodes that are down")
	for day := 60; day < 72; day += 3 { // all restart often, so none knows the age of the snapshot
		for _, name := range names {
			readers[name] = NewReader(start.Add(time.Duration(day) * time.Hour))
		}
		again := run(start.Add(time.Duration(day)*time.Hour), start.Add(time.Duration(day+3)*time.Hour), names)
		assert.Assert(t, len(again) == 1, "%v", again)
	}
	r := NewReader(start)
	r.SetFirstRetained(5)
	assert.Assert(t, !r.SnapshotDue(start.Add(time.Hour), p, "n0", names))
}

// TestPeerWithoutConfiguration guards against a node that starts while the log
// is down, requests the configuration from a peer that has none either, and
// takes the empty configuration for the current one.
func TestPeerWithoutConfiguration(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewReader(now)
	r.ApplyPeerBatch(now, Batch{First: 0, End: 0})
	_, known := r.Age(now)
	assert.Assert(t, !known)
}

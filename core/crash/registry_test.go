package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(path, body string) Fingerprint {
	var d BodyDigest
	_, _ = d.Write([]byte(body))
	d.End()
	sum, _ := d.Sum()
	return Fingerprint{Head: HeadDigest("GET", path, "club"), Body: sum}
}

func TestFingerprint(t *testing.T) {
	heads := map[Digest]string{}
	for _, parts := range [][3]string{
		{"GET", "/stubs/1", "club"},
		{"PUT", "/stubs/1", "club"},
		{"GET", "/stubs/1?page=2", "club"},
		{"GET", "/stubs/1", "theatre"},
		{"GET", "/stubs/1c", "lub"},
		{"GET", "/stubs/1", ""},
	} {
		d := HeadDigest(parts[0], parts[1], parts[2])
		assert.Equal(t, heads[d], "", "%v has the digest of another head", parts)
		heads[d] = fmt.Sprint(parts)
	}
}

func TestBodyDigest(t *testing.T) {
	long := make([]byte, BodyPrefixBytes+1)
	for _, test := range []struct {
		name   string
		chunks [][]byte
		ended  bool
		known  bool
		equals [][]byte
	}{
		{name: "empty", ended: true, known: true, equals: nil},
		{name: "not ended", chunks: [][]byte{[]byte("200 stubs")}},
		{name: "in chunks", chunks: [][]byte{[]byte("200 "), []byte("stubs")}, ended: true, known: true, equals: [][]byte{[]byte("200 stubs")}},
		{name: "prefix", chunks: [][]byte{long[:BodyPrefixBytes]}, known: true, equals: [][]byte{long}},
		{name: "longer than the prefix", chunks: [][]byte{long[:10], long[10:]}, known: true, equals: [][]byte{long}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sum := func(chunks [][]byte, ended bool) (Digest, bool) {
				var d BodyDigest
				for _, c := range chunks {
					n, err := d.Write(c)
					assert.NilError(t, err)
					assert.Equal(t, n, len(c))
				}
				if ended {
					d.End()
				}
				return d.Sum()
			}
			got, known := sum(test.chunks, test.ended)
			assert.Equal(t, known, test.known)
			if known {
				want, _ := sum(test.equals, true)
				assert.Equal(t, got, want)
			}
		})
	}
}

// event is one event in the history of a request.
type event struct {
	after    time.Duration
	process  uint64 // ended; 0 for a response
	response bool
}

func TestRegistry(t *testing.T) {
	const s = time.Second
	for _, test := range []struct {
		name             string
		events           []event
		at               time.Duration
		refuses, isolate bool
	}{
		{name: "never seen"},
		{name: "one process", events: []event{{process: 1}}},
		{name: "two processes", events: []event{{process: 1}, {process: 2}}, isolate: true},
		{name: "three processes", events: []event{{process: 1}, {process: 2}, {process: 3}}, refuses: true, isolate: true},
		{name: "one process three times", events: []event{{process: 1}, {process: 1}, {process: 1}}},
		{name: "response between", events: []event{{process: 1}, {process: 2}, {response: true}, {process: 3}}},
		{name: "three after a response", events: []event{{process: 1}, {response: true}, {process: 2}, {process: 3}, {process: 4}}, refuses: true, isolate: true},
		{name: "tried again", events: []event{{process: 1}, {process: 2}, {process: 3}}, at: RefusalTime, isolate: true},
		{name: "fails again", events: []event{{process: 1}, {process: 2}, {process: 3}, {after: RefusalTime, process: 4}}, at: RefusalTime + s, refuses: true, isolate: true},
		{name: "old suspect", events: []event{{process: 1}, {process: 2}}, at: SuspectRetention + s},
		{name: "many processes", events: []event{
			{process: 1}, {process: 2}, {process: 3}, {process: 4}, {process: 5}, {process: 6}, {process: 7}, {process: 8}, {after: RefusalTime, process: 9},
		}, at: RefusalTime + s, refuses: true, isolate: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, other := fingerprint("/stubs/1", ""), fingerprint("/stubs/1", "other body")
			g, remote := NewRegistry(nil), NewRegistry(nil)
			for _, e := range test.events {
				if e.response {
					g.RecordResponse(f)
				} else {
					g.RecordEnd(e.process, []Fingerprint{f}, true, start.Add(e.after))
				}
				records, _ := g.ChangedAfter(0, start.Add(e.after))
				remote.Merge(records, start.Add(e.after))
			}
			now := start.Add(test.at)
			for _, r := range []*Registry{g, remote} {
				assert.Equal(t, r.Refuses(f, now), test.refuses)
				assert.Equal(t, r.Isolates(f, now), test.isolate)
				assert.Equal(t, r.Refuses(other, now), false)
				assert.Equal(t, r.KnowsHead(other.Head), len(test.events) > 0)
			}
			assert.Equal(t, g.Sum(), remote.Sum())
		})
	}
}

func TestMergeRejectsMalformedRecords(t *testing.T) {
	f := fingerprint("/stubs/1", "")
	ids := make([]uint64, maxProcesses+1)
	for i := range ids {
		ids[i] = uint64(i)
	}
	g := NewRegistry(func(bool) { t.Error("news of a malformed record") })
	g.Merge([]Record{
		{Fingerprint: f},
		{Fingerprint: f, Ended: ids},
		{Fingerprint: f, Ended: ids[:1], Cleared: make([]uint64, maxCleared+1)},
		{Fingerprint: f, Ended: ids[:3], AgeMS: -1},
		{Fingerprint: f, Ended: ids[:3], AgeMS: 1 << 62},
	}, start)
	assert.Assert(t, g.Empty())
}

func TestMemoryIsBounded(t *testing.T) {
	g := NewRegistry(nil)
	refused := fingerprint("/refused", "")
	for process := uint64(1); process <= RefuseAfter; process++ {
		g.RecordEnd(process, []Fingerprint{refused}, true, start)
	}
	for i := range 2 * MaxRecords {
		g.RecordEnd(uint64(i+10), []Fingerprint{fingerprint(fmt.Sprint(i), "")}, true, start.Add(time.Second))
	}
	records, _ := g.ChangedAfter(0, start.Add(time.Second))
	assert.Equal(t, len(records), MaxRecords)
	assert.Assert(t, g.Refuses(refused, start.Add(time.Second)))
}

func TestRecordsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*Registry, 3)
		for i := range nodes {
			nodes[i] = NewRegistry(nil)
		}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			f := fingerprint(rapid.SampledFrom([]string{"/1", "/2"}).Draw(t, "path"), "")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				node.RecordEnd(rapid.Uint64Range(1, maxProcesses).Draw(t, "process"), []Fingerprint{f}, true, now)
			case 1:
				node.RecordResponse(f)
			default:
				records, _ := node.ChangedAfter(0, now)
				rapid.SampledFrom(nodes).Draw(t, "to").Merge(records, now)
			}
		}
		for range 2 {
			for _, from := range nodes {
				records, _ := from.ChangedAfter(0, now)
				for _, to := range nodes {
					to.Merge(records, now)
				}
			}
		}
		for _, n := range nodes {
			assert.Equal(t, n.Sum(), nodes[0].Sum())
			for _, path := range []string{"/1", "/2"} {
				f := fingerprint(path, "")
				assert.Equal(t, n.Refuses(f, now), nodes[0].Refuses(f, now))
			}
		}
	})
}

func TestNewsEnds(t *testing.T) {
	f := fingerprint("/stubs/1", "")
	news := 0
	a, b := NewRegistry(func(bool) { news++ }), NewRegistry(func(bool) { news++ })
	a.RecordEnd(1, []Fingerprint{f}, true, start)
	assert.Equal(t, news, 1)
	for i := range 10 {
		now := start.Add(time.Duration(i) * time.Second)
		fromA, _ := a.ChangedAfter(0, now)
		b.Merge(fromA, now.Add(time.Millisecond))
		fromB, _ := b.ChangedAfter(0, now)
		a.Merge(fromB, now.Add(time.Millisecond))
	}
	assert.Equal(t, news, 2)
}

func TestRecordEncoding(t *testing.T) {
	in := Record{Fingerprint: fingerprint("/stubs/1", "200 stubs"), Ended: []uint64{1, 2}, Cleared: []uint64{1}, AgeMS: 5}
	data, err := msgpack.Marshal(in)
	assert.NilError(t, err)
	var out Record
	assert.NilError(t, msgpack.Unmarshal(data, &out))
	assert.DeepEqual(t, out, in)
}

// TestRequestsBesideBurstAreNotRefused guards against refusing requests that ran beside one
// that ended several processes before anything was known about it.
func TestRequestsBesideBurstAreNotRefused(t *testing.T) {
	g := NewRegistry(nil)
	crashing, beside := fingerprint("/crash", ""), fingerprint("/beside", "")
	for process := uint64(1); process <= 5; process++ {
		g.RecordEnd(process, []Fingerprint{crashing, beside}, true, start)
	}
	assert.Assert(t, g.Isolates(crashing, start) && g.Isolates(beside, start))
	assert.Assert(t, !g.Refuses(crashing, start) && !g.Refuses(beside, start))
	g.RecordEnd(6, []Fingerprint{crashing}, false, start)
	assert.Assert(t, !g.Refuses(crashing, start), "another request may have ended the process")
	g.RecordEnd(7, []Fingerprint{crashing, fingerprint("/new", "")}, true, start)
	g.RecordResponse(beside)
	assert.Assert(t, g.Refuses(crashing, start))
	assert.Assert(t, !g.Isolates(beside, start))
	now := start.Add(FirstRefusalTime)
	assert.Assert(t, !g.Refuses(crashing, now), "refused for long after a single process")
	g.RecordEnd(8, []Fingerprint{crashing}, true, now)
	assert.Assert(t, g.Refuses(crashing, now.Add(FirstRefusalTime)))
}

package crash

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// RefuseAfter is the number of ended processes after which a request is refused, if
	// it was executed in isolation in one of them.
	RefuseAfter = 3
	// IsolateAfter is the number of ended processes after which a request isn't
	// executed beside other such requests.
	IsolateAfter = RefuseAfter - 1
	// RefusalTime is how long a request is refused after the last process has ended.
	// It is then tried again, as the upstream may have been corrected since.
	RefusalTime = 10 * time.Minute
	// FirstRefusalTime replaces RefusalTime while a single process has ended that
	// executed the request in isolation, since the process may have ended for another
	// reason.
	FirstRefusalTime = time.Minute
	// SuspectRetention is how long the record of a suspect is kept that isn't refused.
	SuspectRetention = 5 * time.Minute
	// RefusedRetention is how long the record of a request is kept that was refused.
	RefusedRetention = 24 * time.Hour
	// MaxRecords limits the records of a node.
	MaxRecords = 2048
	// maxProcesses limits the processes of a record. Later ones only renew its age.
	maxProcesses = 8
	maxCleared   = 2 * maxProcesses
	// ageTolerance is the difference in age that makes a record of another node news.
	// It exceeds the time in which a record passes through the fleet, by which the
	// ages at different nodes differ.
	ageTolerance = 30 * time.Second
)

// Record is what the nodes of a fleet tell each other about a request.
type Record struct {
	Fingerprint Fingerprint `msgpack:"fingerprint"`
	Ended       []uint64    `msgpack:"ended"`    // processes that ended while they executed the request, oldest first
	Cleared     []uint64    `msgpack:"cleared"`  // those of Ended after whose end the request got a response
	Isolated    []uint64    `msgpack:"isolated"` // those of Ended that executed no other request for which Isolates was true
	AgeMS       int64       `msgpack:"ageMs"`    // milliseconds since the last process ended
}

// record is the state of a request.
type record struct {
	ended, cleared, isolated []uint64

	last time.Time // end of the last process
	seq  uint64    // sequence number of the last change that other nodes should know
}

// count returns the number of processes that speak against the request.
func (r *record) count() int {
	return r.countNotCleared(r.ended)
}

func (r *record) countNotCleared(ids []uint64) int {
	n := 0
	for _, id := range ids {
		if !slices.Contains(r.cleared, id) {
			n++
		}
	}
	return n
}

// refuses reports whether the request must not be executed.
func (r *record) refuses(now time.Time) bool {
	if r.count() < RefuseAfter {
		return false
	}
	switch r.countNotCleared(r.isolated) {
	case 0:
		return false
	case 1:
		return now.Sub(r.last) < FirstRefusalTime
	default:
		return now.Sub(r.last) < RefusalTime
	}
}

// isolates reports whether the request must not be executed beside others of its kind.
func (r *record) isolates(now time.Time) bool {
	return r.count() >= IsolateAfter && !r.expired(now)
}

// export returns the record in the form for other nodes.
func (r *record) export(f Fingerprint, now time.Time) Record {
	return Record{Fingerprint: f, Ended: slices.Clone(r.ended), Cleared: slices.Clone(r.cleared), Isolated: slices.Clone(r.isolated), AgeMS: max(0, now.Sub(r.last).Milliseconds())}
}

// expired reports whether the record has no effect any more.
func (r *record) expired(now time.Time) bool {
	retention := SuspectRetention
	if r.count() >= RefuseAfter {
		retention = RefusedRetention
	}
	return now.Sub(r.last) > retention
}

// Registry holds the records of a node. It is safe for concurrent use.
type Registry struct {
	size atomic.Int64 // number of records, so that nothing is locked while there are none

	mu      sync.Mutex
	records map[Fingerprint]*record
	heads   map[Digest]int // number of records with a head
	seq     uint64
	onNews  func(local bool)
}

// NewRegistry returns a registry without records. It calls onNews, if it isn't nil,
// after each change that other nodes should know. local says that this node
// observed what changed, and no other node told it.
func NewRegistry(onNews func(local bool)) *Registry {
	return &Registry{records: map[Fingerprint]*record{}, heads: map[Digest]int{}, onNews: onNews}
}

// Empty reports whether there are no records.
func (g *Registry) Empty() bool {
	return g.size.Load() == 0
}

// KnowsHead reports whether a request with a head has a record. Only then is the
// digest of its body needed.
func (g *Registry) KnowsHead(head Digest) bool {
	if g.Empty() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heads[head] > 0
}

// Refuses reports whether a request must not be executed.
func (g *Registry) Refuses(f Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[f]
	return ok && r.refuses(now)
}

// Isolates reports whether a request must not be executed beside another one for
// which Isolates reports true.
func (g *Registry) Isolates(f Fingerprint, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[f]
	return ok && r.isolates(now)
}

// IsolatedWithHead returns the records of the requests with a head for which Isolates
// reports true.
func (g *Registry) IsolatedWithHead(head Digest, now time.Time) []Record {
	if !g.KnowsHead(head) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for f, r := range g.records {
		if f.Head == head && r.isolates(now) {
			out = append(out, r.export(f, now))
		}
	}
	return out
}

// Refused returns the number of requests that are refused.
func (g *Registry) Refused(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.records {
		if r.refuses(now) {
			n++
		}
	}
	return n
}

// RecordEnd records that a process ended while it executed the suspects. complete says
// that it executed no other request.
func (g *Registry) RecordEnd(process uint64, suspects []Fingerprint, complete bool, now time.Time) {
	g.mu.Lock()
	changed := false
	alone := complete && g.onlyIsolated(suspects, now)
	for _, f := range suspects {
		r := g.ensure(f, now)
		if slices.Contains(r.ended, process) {
			continue
		}
		r.last = now
		ids := []uint64{process}
		suspected := r.count() >= IsolateAfter
		addAll(&r.ended, ids, maxProcesses)
		if alone && suspected {
			addAll(&r.isolated, ids, maxProcesses)
		}
		changed = g.change(r)
	}
	g.evict(now)
	g.mu.Unlock()
	g.notify(changed, true)
}

// onlyIsolated reports whether Isolates is true for one of the suspects only. The
// caller holds mu.
func (g *Registry) onlyIsolated(suspects []Fingerprint, now time.Time) bool {
	var found []Fingerprint
	for _, f := range suspects {
		if r, ok := g.records[f]; ok && r.isolates(now) && !slices.Contains(found, f) {
			found = append(found, f)
		}
	}
	return len(found) == 1
}

// RecordResponse records that a request got a response from the upstream that
// executed it.
func (g *Registry) RecordResponse(f Fingerprint) {
	g.mu.Lock()
	r, ok := g.records[f]
	changed := false
	if ok && r.count() > 0 {
		// Each process that ends makes many suspects. Other nodes need to know only
		// about those that they would treat differently.
		changed = r.count() >= IsolateAfter
		addAll(&r.cleared, r.ended, maxCleared)
		addAll(&r.cleared, r.isolated, maxCleared)
		if changed {
			g.change(r)
		}
	}
	g.mu.Unlock()
	g.notify(changed, true)
}

// Merge adds the records of another node.
func (g *Registry) Merge(records []Record, now time.Time) {
	g.mu.Lock()
	changed := false
	for _, in := range records {
		if len(in.Ended) == 0 || len(in.Ended) > maxProcesses || len(in.Cleared) > maxCleared || len(in.Isolated) > maxProcesses || in.AgeMS < 0 || in.AgeMS > RefusedRetention.Milliseconds() {
			continue
		}
		changed = g.merge(in, now) || changed
	}
	g.evict(now)
	g.mu.Unlock()
	g.notify(changed, false)
}

// merge adds a record of another node and reports whether that changed something.
// The caller holds mu.
func (g *Registry) merge(in Record, now time.Time) bool {
	last := now.Add(-time.Duration(in.AgeMS) * time.Millisecond)
	if (&record{ended: in.Ended, cleared: in.Cleared, last: last}).expired(now) {
		return false
	}
	r := g.ensure(in.Fingerprint, last)
	changed := addAll(&r.ended, in.Ended, maxProcesses)
	changed = addAll(&r.cleared, in.Cleared, maxCleared) || changed
	changed = addAll(&r.isolated, in.Isolated, maxProcesses) || changed
	if last.Sub(r.last) > ageTolerance {
		r.last, changed = last, true
	}
	return changed && g.change(r)
}

// ChangedAfter returns the records that changed after a sequence number, and the
// number of the last change. The number 0 stands for all records.
func (g *Registry) ChangedAfter(seq uint64, now time.Time) ([]Record, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for f, r := range g.records {
		if r.seq > seq && !r.expired(now) {
			out = append(out, r.export(f, now))
		}
	}
	return out, g.seq
}

// Sum returns a value that is equal on nodes with the same records.
func (g *Registry) Sum() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum uint64
	for f, r := range g.records {
		sum += f.sum() ^ setSum(r.ended) ^ 3*setSum(r.cleared) ^ 5*setSum(r.isolated)
	}
	return sum
}

// ensure returns the record of a request and creates it if there is none. The
// caller holds mu.
func (g *Registry) ensure(f Fingerprint, last time.Time) *record {
	r, ok := g.records[f]
	if !ok {
		r = &record{last: last}
		g.records[f] = r
		g.heads[f.Head]++
		g.size.Add(1)
	}
	return r
}

// change marks a record as changed and returns true. The caller holds mu.
func (g *Registry) change(r *record) bool {
	g.seq++
	r.seq = g.seq
	return true
}

// evict removes expired records, and above MaxRecords those that matter least: the
// ones with the fewest processes, of these the oldest. The caller holds mu.
func (g *Registry) evict(now time.Time) {
	for f, r := range g.records {
		if r.expired(now) {
			g.remove(f)
		}
	}
	if len(g.records) <= MaxRecords {
		return
	}
	order := make([]Fingerprint, 0, len(g.records))
	for f := range g.records {
		order = append(order, f)
	}
	slices.SortFunc(order, func(a, b Fingerprint) int {
		ra, rb := g.records[a], g.records[b]
		return cmp.Or(cmp.Compare(ra.count(), rb.count()), ra.last.Compare(rb.last))
	})
	for _, f := range order[:len(order)-MaxRecords] {
		g.remove(f)
	}
}

func (g *Registry) remove(f Fingerprint) {
	delete(g.records, f)
	g.size.Add(-1)
	if g.heads[f.Head]--; g.heads[f.Head] == 0 {
		delete(g.heads, f.Head)
	}
}

func (g *Registry) notify(changed, local bool) {
	if changed && g.onNews != nil {
		g.onNews(local)
	}
}

// addAll adds the identifiers that a set lacks, up to a size, and reports whether it
// added any.
func addAll(set *[]uint64, ids []uint64, size int) bool {
	changed := false
	for _, id := range ids {
		if !slices.Contains(*set, id) && len(*set) < size {
			*set = append(*set, id)
			changed = true
		}
	}
	return changed
}

func (f Fingerprint) sum() uint64 {
	var s uint64
	for i := range f.Head {
		s = s*1099511628211 + uint64(f.Head[i]) ^ uint64(f.Body[i])<<32
	}
	return s
}

// setSum returns a sum that doesn't depend on the order of the identifiers.
func setSum(ids []uint64) uint64 {
	var s uint64
	for _, id := range ids {
		s += id
	}
	return s
}

package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readerZone simulates, in virtual time, the nodes of one zone that keep their
// configuration up to date by the decisions of Sources.
type readerZone struct {
	plan    ReadPlan
	now     time.Time
	order   []string
	nodes   map[string]*readerNode
	reads   int // calls to the log
	follows int // requests between nodes
}

type readerNode struct {
	name    string
	sources *Sources
	asOf    time.Time // the state was the newest at this time
	busy    time.Time // the pending read ends at this time
	sent    time.Time // when the pending read was sent; zero for none
	silent  bool      // the log doesn't respond to the node
	refused bool      // the log refuses the node at once
	dead    bool
	maxAge  time.Duration
}

func newReaderZone(n int) *readerZone {
	z := &readerZone{plan: ReadPlan{MaxAge: 5 * time.Second}, now: time.Unix(1000, 0), nodes: map[string]*readerNode{}}
	for i := range n {
		name := fmt.Sprintf("n%03d", i)
		z.order = append(z.order, name)
		z.nodes[name] = &readerNode{name: name, sources: NewSources(name), asOf: z.now}
	}
	return z
}

// run advances the simulation in steps of 10 ms, the time of a request to the log or to a
// node.
func (z *readerZone) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(step) {
		for _, name := range z.order {
			if n := z.nodes[name]; !n.dead {
				z.step(n)
			}
		}
	}
}

func (z *readerZone) step(n *readerNode) {
	role := n.sources.Role(z.order, z.now)
	z.finishRead(n, role)
	age := z.now.Sub(n.asOf)
	if n.sent.IsZero() && (role.Read || age > z.plan.MaxNonReaderAge()) && !z.now.Before(n.sources.NextRead()) {
		z.reads++
		n.sent, n.busy = z.now, z.now.Add(z.readTime(n, age))
	}
	for _, name := range role.Follow {
		z.follow(n, z.nodes[name])
	}
	n.maxAge = max(n.maxAge, z.now.Sub(n.asOf))
}

// readTime returns how long a read takes.
func (z *readerZone) readTime(n *readerNode, age time.Duration) time.Duration {
	wait := z.plan.NextWait(age)
	switch {
	case n.refused:
		return 0
	case n.silent:
		return wait + 500*time.Millisecond
	default:
		return wait
	}
}

func (z *readerZone) finishRead(n *readerNode, role Role) {
	if n.sent.IsZero() || z.now.Before(n.busy) {
		return
	}
	ok := !n.refused && !n.silent
	n.sources.ReadDone(ok, role.First, z.now)
	if ok && n.sent.After(n.asOf) {
		n.asOf = n.sent
	}
	n.sent = time.Time{}
}

// follow gives a node the state of a source, which responds whenever it has news.
func (z *readerZone) follow(n, source *readerNode) {
	if source.dead {
		n.sources.SourceFailed(source.name, z.now)
		return
	}
	if source.asOf.After(n.asOf) {
		n.asOf = source.asOf
		z.follows++
	}
	if source.sources.Failing() || z.now.Sub(source.asOf) > z.plan.MaxReaderAge() {
		n.sources.SourceFailed(source.name, z.now)
	} else {
		n.sources.SourceWorks(source.name)
	}
}

// maxAge returns the highest age that the configuration of a live node reached.
func (z *readerZone) maxAge() time.Duration {
	var oldest time.Duration
	for _, n := range z.nodes {
		if !n.dead {
			oldest = max(oldest, n.maxAge)
		}
	}
	return oldest
}

// TestReadsGrowWithZones guards against a number of calls to the log that grows with the
// number of nodes of a zone.
func TestReadsGrowWithZones(t *testing.T) {
	const measured = 15 * time.Second
	reads := map[int]int{}
	for _, n := range []int{6, 20, 60, 650} {
		z := newReaderZone(n)
		z.run(time.Second)
		z.reads, z.follows = 0, 0
		z.run(measured)
		reads[n] = z.reads
		t.Logf("%d nodes: %.2f reads a second, %.2f requests to a reader a second and node", n, float64(z.reads)/measured.Seconds(), float64(z.follows)/measured.Seconds()/float64(n))
		assert.Check(t, float64(z.reads)/measured.Seconds()/float64(n) < 0.1 || n < 20, "reads a second and node")
	}
	assert.Equal(t, reads[650], reads[6])
}

// TestConfigurationStaysFreshWhileReadersFail guards against keys that are refused or
// revoked too late because the readers of a zone failed: killed, cut off from the log
// without a word, or refused by it while others are served, several at once.
func TestConfigurationStaysFreshWhileReadersFail(t *testing.T) {
	const strictFraction = 0.9 // fraction of MaxAge from which keys are refused
	for _, c := range []struct {
		name string
		fail func(n *readerNode)
		n    int // number of first readers that fail
	}{
		{"one killed", func(n *readerNode) { n.dead = true }, 1},
		{"both killed", func(n *readerNode) { n.dead = true }, 2},
		{"one refused", func(n *readerNode) { n.refused = true }, 1},
		{"both refused", func(n *readerNode) { n.refused = true }, 2},
		{"seven refused", func(n *readerNode) { n.refused = true }, 7},
		{"one silent", func(n *readerNode) { n.silent = true }, 1},
		{"both silent", func(n *readerNode) { n.silent = true }, 2},
		{"five silent", func(n *readerNode) { n.silent = true }, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(8) {
				rng := rand.New(rand.NewPCG(seed, 3))
				z := newReaderZone(20)
				z.run(time.Duration(5000+rng.IntN(3000)) * time.Millisecond)
				for _, name := range z.order[:c.n] {
					c.fail(z.nodes[name])
				}
				z.run(20 * time.Second)
				bound := time.Duration(float64(z.plan.MaxAge) * strictFraction)
				assert.Assert(t, z.maxAge() < bound, "%v in seed %d", z.maxAge(), seed)
			}
		})
	}
}

// TestOutageIsCheap guards against a fleet that asks a log that is away all the time, and
// against one that notices its return late.
func TestOutageIsCheap(t *testing.T) {
	z := newReaderZone(20)
	z.run(5 * time.Second)
	for _, n := range z.nodes {
		n.refused = true
	}
	z.run(10 * time.Second)
	z.reads = 0
	z.run(30 * time.Second)
	perNode := float64(z.reads) / 30 / 20
	t.Logf("%.2f reads a second and node during the outage", perNode)
	assert.Assert(t, perNode < 0.5)
	for _, n := range z.nodes {
		n.refused = false
	}
	z.run(2 * time.Second)
	for _, n := range z.nodes {
		assert.Check(t, z.now.Sub(n.asOf) < z.plan.MaxNonReaderAge(), n.name)
	}
}

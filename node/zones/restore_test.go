package zones

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/member"
)

// eraLog is a log that can come back from a copy.
type eraLog struct {
	mu      sync.Mutex
	era     uint64
	first   uint64 // offset of the first retained record
	records [][]byte
	down    bool
	changed chan struct{}
	reads   atomic.Int64
}

func newEraLog() *eraLog {
	return &eraLog{era: 1, changed: make(chan struct{})}
}

func (l *eraLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// restore forgets all records after the first n.
func (l *eraLog) restore(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	l.records = l.records[:min(n, len(l.records))]
	l.notify()
}

func (l *eraLog) Append(_ context.Context, _ string, records ...[]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, context.DeadlineExceeded
	}
	l.records = append(l.records, records...)
	l.notify()
	return l.first + uint64(len(l.records)-len(records)), nil
}

func (l *eraLog) read(from uint64) (logsvc.Batch, error) {
	end := l.first + uint64(len(l.records))
	if from < l.first || from > end {
		return logsvc.Batch{}, &logsvc.ExpiredError{From: from, First: l.first, Era: l.era}
	}
	return logsvc.Batch{First: from, Next: end, End: end, Records: l.records[from-l.first:], Era: l.era}, nil
}

// Read implements logsvc.Log. A read of an empty range ends with the next change.
func (l *eraLog) Read(ctx context.Context, _ string, from uint64, _ int, _ time.Duration) (logsvc.Batch, error) {
	l.reads.Add(1)
	l.mu.Lock()
	b, err := l.read(from)
	changed := l.changed
	l.mu.Unlock()
	if err != nil || len(b.Records) > 0 {
		return b, err
	}
	select {
	case <-ctx.Done():
		return logsvc.Batch{}, ctx.Err()
	case <-changed:
		return b, nil
	}
}

// Guards against a node that reads again and again at once from an offset that a log which
// has come back from a copy doesn't have.
func TestRestoredLogIsReadCalmly(t *testing.T) {
	const mostReads = 20 // the log is read by long poll, so that a few reads suffice
	for _, withEra := range []bool{true, false} {
		t.Run(fmt.Sprintf("era in the responses: %v", withEra), func(t *testing.T) {
			self := epoch.Member{Name: "a", Incarnation: 1, Address: "127.0.0.1:1", Zone: "z"}
			log := newEraLog()
			for i := range uint64(5) {
				rec, err := epoch.Encode(epoch.Record{Epoch: &epoch.Epoch{Zone: "z", Number: i + 1, Base: i, Members: []epoch.Member{self}}})
				assert.NilError(t, err)
				_, err = log.Append(t.Context(), "", rec)
				assert.NilError(t, err)
			}
			z := New(self, log, &fakePeers{}, time.Hour, func(error) {})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- z.Follow(func() bool { return true })(ctx) }()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if z.Position().Next < 5 {
					return poll.Continue("the log was not read")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			log.restore(2)
			if !withEra {
				log.mu.Lock()
				log.era = 1
				log.mu.Unlock()
			}
			assert.NilError(t, <-ended)
			assert.Assert(t, log.reads.Load() <= mostReads, "%d reads in a second", log.reads.Load())
			assert.Equal(t, z.Adopted(), uint64(5), "a known epoch is reverted")
		})
	}
}

// zoneSim is a zone of nodes in virtual time. Its log can come back from a copy, its nodes
// can restart.
type zoneSim struct {
	t       *testing.T
	rng     *rand.Rand
	log     *eraLog
	now     time.Time
	nodes   []*Zones
	retired map[string]uint64
}

const simStep = 100 * time.Millisecond

func (s *zoneSim) Confirm(context.Context, string, epoch.ConfirmRequest) (epoch.ConfirmReply, error) {
	return epoch.ConfirmReply{}, context.Canceled // the simulation confirms itself
}

func (s *zoneSim) Members(zone string) []member.Entry {
	var out []member.Entry
	for _, z := range s.nodes {
		out = append(out, member.Entry{
			Name: z.self.Name, Incarnation: z.self.Incarnation, Addr: z.self.Address, Zone: zone, Epoch: z.lease.Epoch().Number,
		})
	}
	return out
}

func (s *zoneSim) AnnounceRetired(zone string, through uint64) {
	s.retired[zone] = max(s.retired[zone], through)
}

func (s *zoneSim) Retired() map[string]uint64 { return s.retired }

// restart puts a new process in place of a node.
func (s *zoneSim) restart(i int) {
	self := epoch.Member{Name: fmt.Sprint("n", i), Incarnation: uint64(s.now.UnixNano()), Address: fmt.Sprint("10.0.0.", i, ":1"), Zone: "z"}
	s.nodes[i] = New(self, s.log, s, 20*time.Second, func(error) {})
}

// read lets a node read the log, or follow another one that does.
func (s *zoneSim) read(i int) {
	z := s.nodes[i]
	if i < 2 && !s.log.down {
		for range 3 {
			from := z.Position().Next
			b, err := s.log.read(from)
			var expired *logsvc.ExpiredError
			if errors.As(err, &expired) {
				_ = z.handleExpired(expired, from, s.now)
				continue
			}
			z.Fold(b, s.now)
		}
	}
	source := s.nodes[(i+1)%2]
	if u, ok := source.Update(z.Position()); ok && source != z {
		z.ApplyUpdate(u, s.now)
	}
}

// confirm lets a node ask the others to confirm its epoch.
func (s *zoneSim) confirm(z *Zones) {
	for _, peer := range s.nodes {
		if peer == z || !z.lease.Epoch().Has(z.self) {
			continue
		}
		reply := peer.Confirm(z.lease.Request())
		reply.Member.Address, reply.Member.Zone = peer.self.Address, peer.self.Zone
		z.lease.RecordConfirmation(reply, s.now)
		z.tracker.Observe(reply.Member, reply.Adopted, s.now)
		z.tracker.MergeRetired(reply.Zone, reply.RetiredThrough)
	}
}

// users returns the nodes that may use a share now.
func (s *zoneSim) users(share string) []string {
	owner := func(e epoch.Epoch) epoch.Member { return e.Slots(share, 1)[0] }
	var out []string
	for _, z := range s.nodes {
		if z.lease.Valid(s.now) && z.tracker.MayUse(z.self, owner, s.now) {
			out = append(out, z.self.Name)
		}
	}
	return out
}

func (s *zoneSim) step() {
	s.now = s.now.Add(simStep)
	for i, z := range s.nodes {
		z.proposeOnce(s.t.Context(), s.Members("z"), s.retired, s.now)
		s.read(i)
		s.confirm(z)
	}
}

// Guards against two holders of one share, and against member lists that stay different,
// after a log has come back from a copy and gives out the numbers of epochs again.
func TestRestoredLogKeepsOneHolder(t *testing.T) {
	const (
		steps  = 600 // 60 s
		settle = 200 // steps without faults at the end
	)
	// With the last five, the lists stay different if numbers are given out again.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 50, 85, 105, 139, 164} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &zoneSim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), log: newEraLog(), now: time.Now(), retired: map[string]uint64{}}
			s.nodes = make([]*Zones, 5)
			for i := range s.nodes {
				s.restart(i)
			}
			for step := range steps {
				if step < steps-settle {
					s.fault()
				} else {
					s.log.down = false
				}
				s.step()
				for share := range 8 {
					users := s.users(fmt.Sprint("share", share))
					assert.Assert(t, len(users) <= 1, "step %d: share %d is in use by %v", step, share, users)
				}
			}
			want, _ := s.nodes[0].state.Current("z")
			assert.Assert(t, len(want.Members) == len(s.nodes), "the list lacks nodes: %v", want)
			for _, z := range s.nodes {
				got, _ := z.state.Current("z")
				assert.DeepEqual(t, got, want)
			}
			for share := range 8 {
				assert.Equal(t, len(s.users(fmt.Sprint("share", share))), 1, "share %d has no holder", share)
			}
		})
	}
}

// fault lets a fault happen now and then.
func (s *zoneSim) fault() {
	switch s.rng.IntN(80) {
	case 0, 1:
		s.restart(s.rng.IntN(len(s.nodes)))
	case 2:
		s.log.restore(max(0, len(s.log.records)-1-s.rng.IntN(3)))
		for range s.rng.IntN(3) {
			s.restart(s.rng.IntN(len(s.nodes)))
		}
	case 3:
		s.log.down = !s.log.down
	}
}

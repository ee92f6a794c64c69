package zones

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/member"
)

// fakePeers reads the adopted epoch from Zones in every method, as the gossip
// of a real node does while it holds its own lock.
type fakePeers struct {
	zones       *Zones
	retireCalls int
}

func (p *fakePeers) Confirm(context.Context, string, epoch.ConfirmRequest) (epoch.ConfirmReply, error) {
	p.zones.Adopted()
	return epoch.ConfirmReply{}, context.Canceled
}

func (p *fakePeers) Members(zone string) []member.Entry {
	p.zones.Adopted()
	list := []member.Entry{{Name: "a", Incarnation: 1, Addr: "127.0.0.1:1", Zone: zone}}
	if p.zones.Adopted() > 0 {
		list = append(list, member.Entry{Name: "b", Incarnation: 1, Addr: "127.0.0.1:2", Zone: zone, Epoch: p.zones.Adopted()})
	}
	return list
}

func (p *fakePeers) AnnounceRetired(string, uint64) {
	p.zones.Adopted()
	p.retireCalls++
}

func (p *fakePeers) Retired() map[string]uint64 {
	p.zones.Adopted()
	return nil
}

// fakeLog keeps one stream in memory.
type fakeLog struct {
	records [][]byte
}

func (l *fakeLog) Append(_ context.Context, _ string, records ...[]byte) (uint64, error) {
	l.records = append(l.records, records...)
	return uint64(len(l.records) - len(records)), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (logsvc.Batch, error) {
	end := uint64(len(l.records))
	return logsvc.Batch{First: from, Next: end, End: end, Records: l.records[from:]}, nil
}

// Guards against a deadlock between gossip and Zones. Gossip reads the adopted
// epoch under its own lock, so Zones must not call gossip while it holds its
// lock.
func TestPeersAreCalledWithoutLock(t *testing.T) {
	self := epoch.Member{Name: "a", Incarnation: 1, Address: "127.0.0.1:1", Zone: "z"}
	peers := &fakePeers{}
	log := &fakeLog{}
	z := New(self, log, peers, time.Hour, func(err error) { t.Error(err) })
	peers.zones = z
	done := make(chan struct{})
	go func() {
		defer close(done)
		now := time.Now()
		for range 100 {
			z.proposeOnce(t.Context(), peers.Members("z"), peers.Retired(), now)
			b, _ := log.Read(t.Context(), logsvc.StreamEpochs, z.state.Next, 10, 0)
			z.Fold(b, now)
			now = now.Add(epoch.TurnDuration)
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-done:
			return poll.Success()
		default:
			return poll.Continue("deadlock between Zones and its peers")
		}
	}, poll.WithTimeout(20*time.Second))
	assert.Assert(t, z.Adopted() > 1)
	assert.Assert(t, peers.retireCalls > 0)
}

// TestOddRecords guards against a record of another writer that stops the reader, takes the place
// of the epochs, or makes the proposers stop.
func TestOddRecords(t *testing.T) {
	self := epoch.Member{Name: "a", Incarnation: 1, Address: "127.0.0.1:1", Zone: "z"}
	encode := func(r epoch.Record) string {
		data, err := epoch.Encode(r)
		assert.NilError(t, err)
		return string(data)
	}
	numbered := func(number, base, retired uint64) epoch.Epoch {
		return epoch.Epoch{Zone: "z", Number: number, Base: base, RetiredThrough: retired, Members: []epoch.Member{self}}
	}
	record := func(number, base uint64) string {
		e := numbered(number, base, 0)
		return encode(epoch.Record{Epoch: &e})
	}
	snapshot := func(s epoch.Snapshot) string { return encode(epoch.Record{Snapshot: &s}) }
	const firstOfEra9 = 9<<24 + 1
	for _, test := range []struct{ name, record string }{
		{"empty", ""},
		{"bytes that can't be read", "\xff\xfe\x00"},
		{"no object", "7"},
		{"nested", strings.Repeat("[", 1<<20)},
		{"nested in an unknown field", `{"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "}"},
		{"nested in a known field", `{"epoch":{"members":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}}"},
		{"huge number", `{"epoch":{"zone":"z","number":99999999999999999999,"base":1,"members":[{"name":"a","zone":"z"}]}}`},
		{"infinite number", `{"epoch":{"zone":"z","number":1e999,"base":1,"members":[{"name":"a","zone":"z"}]}}`},
		{"negative number", `{"epoch":{"zone":"z","number":-1,"base":1,"members":[{"name":"a","zone":"z"}]}}`},
		{"members of another type", `{"epoch":{"zone":"z","number":2,"base":1,"members":"a"}}`},
		{"no members", `{"epoch":{"zone":"z","number":2,"base":1}}`},
		{"last number", record(math.MaxUint64, math.MaxUint64-1)},
		{"number of a later era", record(firstOfEra9, 0)},
		{"number of the last era", record(math.MaxUint64>>24<<24+1, 1)},
		{"snapshot of later records", snapshot(epoch.Snapshot{Zone: "z", Offset: math.MaxUint64, Epochs: []epoch.Epoch{numbered(7, 6, 0)}})},
		{"snapshot of a later era", snapshot(epoch.Snapshot{Zone: "z", Offset: 1, Epochs: []epoch.Epoch{numbered(firstOfEra9, 0, 0)}})},
		{"snapshot with a huge retired number", snapshot(epoch.Snapshot{Zone: "z", Offset: 1, RetiredThrough: math.MaxUint64, Epochs: []epoch.Epoch{numbered(2, 1, 0)}})},
		{"snapshot without epochs", snapshot(epoch.Snapshot{Zone: "z", Offset: 1})},
		{"both", `{"epoch":{},"snapshot":{}}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := &fakeLog{records: [][]byte{[]byte(record(1, 0)), []byte(test.record), []byte(record(2, 1)), []byte(record(3, 2))}}
			z := New(self, log, &fakePeers{}, time.Hour, func(err error) { t.Error(err) })
			for range 2 {
				assert.NilError(t, z.readOnce(t.Context()))
				z.WithView(func(v View) {
					assert.Equal(t, v.State.Next, uint64(len(log.records)))
					assert.Equal(t, v.State.Retired("z"), uint64(0))
				})
				assert.Equal(t, z.Adopted(), uint64(len(log.records)-1))
				log.records = append(log.records, []byte(record(4, 3)))
			}
		})
	}
}

// Guards against a member that confirms an epoch older than the one that it
// adopted.
func TestConfirmNamesAdoptedEpoch(t *testing.T) {
	self := epoch.Member{Name: "a", Incarnation: 1, Address: "127.0.0.1:1", Zone: "z"}
	z := New(self, &fakeLog{}, &fakePeers{}, time.Hour, func(err error) { t.Error(err) })
	rec, err := epoch.Encode(epoch.Record{Epoch: &epoch.Epoch{Zone: "z", Number: 1, Members: []epoch.Member{self}}})
	assert.NilError(t, err)
	z.Fold(logsvc.Batch{Next: 1, End: 1, Records: [][]byte{rec}}, time.Now())
	reply := z.Confirm(epoch.ConfirmRequest{Zone: "z", Epoch: 0})
	assert.Equal(t, reply.Adopted, uint64(1))
	assert.Equal(t, reply.Member.Name, self.Name)
	assert.Equal(t, reply.Member.Incarnation, self.Incarnation)
}

// waitingLog records how long the reads may wait.
type waitingLog struct {
	fakeLog
	waits []time.Duration
}

func (l *waitingLog) Read(ctx context.Context, stream string, from uint64, n int, wait time.Duration) (logsvc.Batch, error) {
	l.waits = append(l.waits, wait)
	return l.fakeLog.Read(ctx, stream, from, n, wait)
}

// Guards against a node that learns only at the end of a long poll that there are no epochs.
func TestFirstReadDoesNotWait(t *testing.T) {
	self := epoch.Member{Name: "a", Incarnation: 1, Address: "127.0.0.1:1", Zone: "z"}
	log := &waitingLog{}
	z := New(self, log, &fakePeers{}, time.Hour, func(err error) { t.Error(err) })
	z.WithView(func(v View) { assert.Assert(t, !v.State.HasReachedEnd()) })
	for range 3 {
		assert.NilError(t, z.readOnce(t.Context()))
		z.WithView(func(v View) { assert.Assert(t, v.State.HasReachedEnd()) })
	}
	assert.DeepEqual(t, log.waits, []time.Duration{0, LongPollTimeout, LongPollTimeout})
}

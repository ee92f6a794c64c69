package tokens

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/member"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

// noPeers implements the peer interfaces of a node that has no peers.
type noPeers struct{ self epoch.Member }

func (noPeers) Confirm(context.Context, string, epoch.ConfirmRequest) (epoch.ConfirmReply, error) {
	return epoch.ConfirmReply{}, context.Canceled
}

func (a noPeers) Members(string) []member.Entry {
	return []member.Entry{{Name: a.self.Name, Incarnation: a.self.Incarnation, Addr: a.self.Address, Zone: a.self.Zone}}
}

func (noPeers) AnnounceRetired(string, uint64) {}
func (noPeers) Retired() map[string]uint64     { return nil }

func (noPeers) Borrow(context.Context, string, quota.BorrowRequest) (quota.BorrowReply, error) {
	return quota.BorrowReply{}, context.Canceled
}

func (noPeers) LendCapacity(context.Context, string, quota.CapacityRequest) (quota.CapacityReply, error) {
	return quota.CapacityReply{}, context.Canceled
}

// memoryLog is an in-memory log: the records of each stream by its name.
type memoryLog map[string][][]byte

func (l memoryLog) Append(_ context.Context, stream string, records ...[]byte) (uint64, error) {
	first := uint64(len(l[stream]))
	l[stream] = append(l[stream], records...)
	return first, nil
}

func (l memoryLog) Read(_ context.Context, stream string, from uint64, _ int, _ time.Duration) (logsvc.Batch, error) {
	end := uint64(len(l[stream]))
	return logsvc.Batch{First: from, Next: end, End: end, Records: l[stream][from:]}, nil
}

// record returns a configuration record that sets an object.
func record(t *testing.T, kind model.Kind, name string, body any) []byte {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	rec, err := json.Marshal(config.Record{Change: &config.Change{ID: name, Kind: kind, Name: name, Body: data}})
	assert.NilError(t, err)
	return rec
}

// newSingleNode returns the limiter of a node that holds all shares of customer "c". If
// createLater is set, the customer is created after the node became the holder.
func newSingleNode(t *testing.T, rate float64, burst int64, createLater bool) *Limiter {
	t.Helper()
	ctx := t.Context()
	log := memoryLog{}
	self := epoch.Member{Name: "a", Incarnation: 1, Address: "127.0.0.1:1", Zone: "z"}
	st := store.New()
	z := zones.New(self, log, noPeers{self}, time.Hour, func(err error) { t.Error(err) })
	limiter := New(z, st, noPeers{self}, metric.New())
	fleet := record(t, model.KindFleet, config.FleetName, model.Fleet{Zones: []model.ZoneWeight{{Name: "z", Weight: 1}}})
	customer := record(t, model.KindCustomer, "c", model.Customer{Rate: rate, Burst: burst})
	log[logsvc.StreamConfig] = [][]byte{fleet}
	if !createLater {
		log[logsvc.StreamConfig] = append(log[logsvc.StreamConfig], customer)
	}
	rec, err := epoch.Encode(epoch.Record{Epoch: &epoch.Epoch{Zone: "z", Number: 1, Members: []epoch.Member{self}}})
	assert.NilError(t, err)
	log[logsvc.StreamEpochs] = [][]byte{rec}
	z.Fold(logsvc.Batch{Next: 1, End: 1, Records: log[logsvc.StreamEpochs]}, time.Now())
	// The stream is read twice because its end counts only if it was read after the
	// holder saw that its epoch is the only one that is not retired.
	for range 2 {
		readConfig(ctx, st, log)
		limiter.holder.recordReadAndSync(time.Now(), st.Age(time.Now()), st.LogEnd())
	}
	if createLater {
		log[logsvc.StreamConfig] = append(log[logsvc.StreamConfig], customer)
		readConfig(ctx, st, log)
	}
	return limiter
}

// readConfig applies all new records of the configuration stream.
func readConfig(ctx context.Context, st *store.Store, log memoryLog) {
	b, _ := log.Read(ctx, logsvc.StreamConfig, st.Offset(), 0, 0)
	st.ApplyBatch(b, time.Now(), time.Now())
}

// TestBurst guards against a holder that admits more than the burst, whose bucket starts
// full although an earlier holder may have lent tokens, or that refuses requests within
// the burst of a new customer.
func TestBurst(t *testing.T) {
	for _, c := range []struct {
		name        string
		createLater bool
		min, max    int
	}{
		{"new customer starts full", true, 10, 10},
		{"known customer starts empty", false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := newSingleNode(t, 0.001, 10, c.createLater)
			n := 0
			var e *refuse.Error
			for e == nil && n < 100 {
				if _, e = limiter.Take(t.Context(), "c", 0, time.Now()); e == nil {
					n++
				}
			}
			assert.Equal(t, e.Reason, refuse.RateLimited)
			assert.Equal(t, e.Executed, refuse.NotExecuted)
			assert.Assert(t, n >= c.min && n <= c.max, "%d admitted", n)
		})
	}
}

// TestUnknownAccount guards against admitting requests of an account that does not exist.
func TestUnknownAccount(t *testing.T) {
	limiter := newSingleNode(t, 100, 10, true)
	_, e := limiter.Take(t.Context(), "nobody", 0, time.Now())
	assert.Equal(t, e.Reason, refuse.RateLimited)
}

// TestGiveBack guards against a refused request that costs its customer a token.
func TestGiveBack(t *testing.T) {
	limiter := newSingleNode(t, 0.001, 1, true)
	release, e := limiter.Take(t.Context(), "c", 0, time.Now())
	assert.Assert(t, e == nil, "%v", e)
	release(time.Now())
	_, e = limiter.Take(t.Context(), "c", 0, time.Now())
	assert.Assert(t, e == nil, "%v", e)
}

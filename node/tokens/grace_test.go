package tokens

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

// answeringPeers replies to each borrow request as its function does.
type answeringPeers struct {
	noPeers
	borrow func(quota.BorrowRequest) (quota.BorrowReply, error)
}

func (p answeringPeers) Borrow(_ context.Context, _ string, req quota.BorrowRequest) (quota.BorrowReply, error) {
	return p.borrow(req)
}

// TestGraceAsksHoldersFirst guards against a restarted node that admits in its grace period what
// a holder lends, or that refuses everything while no share has a holder.
func TestGraceAsksHoldersFirst(t *testing.T) {
	holder := func(req quota.BorrowRequest) (quota.BorrowReply, error) {
		return quota.BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true, RetryAfter: time.Second}, nil
	}
	notHolder := func(req quota.BorrowRequest) (quota.BorrowReply, error) {
		return quota.BorrowReply{ShareID: req.ShareID, Seq: req.Seq}, nil
	}
	unreachable := func(quota.BorrowRequest) (quota.BorrowReply, error) {
		return quota.BorrowReply{}, context.Canceled
	}
	const rate, nodes, first = 100.0, 4, 0.5 // half a second of the node's fraction is admitted at once
	for _, test := range []struct {
		name     string
		zones    []string // that have an epoch
		caughtUp bool     // the end of the stream of epochs is known
		borrow   func(quota.BorrowRequest) (quota.BorrowReply, error)
		part     float64 // of the rate that has no holder
	}{
		{"holders without tokens", []string{"y", "z"}, true, holder, 0},
		{"holders lost their leases", []string{"y", "z"}, true, notHolder, 1},
		{"all unreachable", []string{"y", "z"}, true, unreachable, 1},
		{"no epoch yet", nil, true, unreachable, 1},
		{"epochs not read", nil, false, unreachable, 0},
		{"one zone without an epoch", []string{"y"}, true, holder, 0.5},
		{"one zone without holders", []string{"y", "z"}, true, func(req quota.BorrowRequest) (quota.BorrowReply, error) {
			if req.Zone == "y" {
				return holder(req)
			}
			return unreachable(req)
		}, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := memoryLog{}
			self := epoch.Member{Name: "a", Incarnation: 2, Address: "127.0.0.1:1", Zone: "z"}
			st := store.New()
			z := zones.New(self, log, noPeers{self}, time.Hour, func(err error) { t.Error(err) })
			limiter := New(z, st, answeringPeers{noPeers{self}, test.borrow}, metric.New(), WithGracePeriod(time.Now(), func() int { return nodes }))
			fleet := model.Fleet{Zones: []model.ZoneWeight{{Name: "y", Weight: 0.5}, {Name: "z", Weight: 0.5}}}
			log[logsvc.StreamConfig] = [][]byte{
				record(t, model.KindFleet, config.FleetName, fleet),
				record(t, model.KindCustomer, "c", model.Customer{Rate: rate, Burst: 100}),
			}
			readConfig(t.Context(), st, log)
			for _, name := range test.zones {
				old := epoch.Member{Name: "b" + name, Incarnation: 1, Address: "127.0.0.1:2", Zone: name}
				rec, err := epoch.Encode(epoch.Record{Epoch: &epoch.Epoch{Zone: name, Number: 1, Members: []epoch.Member{old}}})
				assert.NilError(t, err)
				log[logsvc.StreamEpochs] = append(log[logsvc.StreamEpochs], rec)
			}
			if test.caughtUp {
				n := uint64(len(test.zones))
				z.Fold(logsvc.Batch{Next: n, End: n, Records: log[logsvc.StreamEpochs]}, time.Now())
			}
			n, began := 0, time.Now()
			for range 20 {
				if _, e := limiter.Take(t.Context(), "c", 0, time.Now()); e == nil {
					n++
				}
			}
			most := test.part * rate / nodes * (time.Since(began).Seconds() + first)
			assert.Assert(t, float64(n) <= most && n >= int(test.part*rate/nodes*first), "%d admitted, at most %.1f", n, most)
		})
	}
}

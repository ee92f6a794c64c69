package quota

import (
	"math"
	"testing"
	"time"

	"dogwoodsill.org/core/model"
	"gotest.tools/v3/assert"
)

// TestRateWithoutHolder guards against a grace period that uses the rate of shares that their
// holders lend, or that doesn't use the rate of shares without a holder.
func TestRateWithoutHolder(t *testing.T) {
	holds := func(p *Pool, req BorrowRequest, now time.Time) {
		p.HandleReply(BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true, RetryAfter: time.Millisecond}, now)
	}
	holdsAlone := func(p *Pool, req BorrowRequest, now time.Time) {
		p.HandleReply(BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true, Alone: true, RetryAfter: time.Millisecond}, now)
	}
	isNotHolder := func(p *Pool, req BorrowRequest, now time.Time) {
		p.HandleReply(BorrowReply{ShareID: req.ShareID, Seq: req.Seq}, now)
	}
	fails := func(p *Pool, req BorrowRequest, now time.Time) { p.HandleFailure(req.Seq, now) }
	isUnknown := func(p *Pool, req BorrowRequest, now time.Time) { p.HandleNoReply(req.Seq, now) }
	isSilent := func(*Pool, BorrowRequest, time.Time) {}
	type answer = func(*Pool, BorrowRequest, time.Time)
	const large, small = 100, 6 // bursts: a group for each share, and one group
	for _, test := range []struct {
		name   string
		burst  int64
		rounds [][]answer // by the position in the order of the shares, for 2.5 s each
		want   float64    // part of the rate
	}{
		{"none asked", large, nil, 0},
		{"all held", large, [][]answer{{holds, holds, holds, holds, holds, holds}}, 0},
		{"no holders", large, [][]answer{{isNotHolder, isNotHolder, isNotHolder, isNotHolder, isNotHolder, isNotHolder}}, 1},
		{"all fail", large, [][]answer{{fails, fails, fails, fails, fails, fails}}, 1},
		{"half held", large, [][]answer{{holds, isNotHolder, holds, fails, holds, fails}}, 0.5},
		{"all silent", large, [][]answer{{isSilent, isSilent, isSilent, isSilent, isSilent, isSilent}}, 1},
		{"owners unknown", large, [][]answer{{isUnknown, isUnknown, isUnknown, isUnknown, isUnknown, isUnknown}}, 1},
		{"holders that end", large, [][]answer{{holds, holds, holds, holds, holds, holds}, {fails, fails, fails, fails, fails, fails}}, 1},
		{"holders that lose the lease", large, [][]answer{{holds, holds, holds, holds, holds, holds}, {isNotHolder, holds, holds, holds, holds, holds}}, 1.0 / 6},
		{"holders again", large, [][]answer{{fails, fails, fails, isNotHolder, isNotHolder, isNotHolder}, {holds, holds, holds, holds, holds, holds}}, 0},
		{"group collected by the first", small, [][]answer{{holds, fails, fails}}, 0},
		{"group without the first", small, [][]answer{{fails, holds, fails}}, 1.0 / 3},
		{"group not collected yet", small, [][]answer{{holdsAlone, fails, holds}}, 1.0 / 3},
		{"group collected later", small, [][]answer{{holdsAlone, fails, fails}, {holds, fails, fails}}, 0},
		{"group without holders", small, [][]answer{{fails, isNotHolder, isNotHolder}}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			zones := []model.ZoneWeight{{Name: "x", Weight: 1.0 / 3}, {Name: "y", Weight: 1.0 / 3}, {Name: "z", Weight: 1.0 / 3}}
			shares := SplitCustomer("c", model.Customer{Rate: 60, Burst: test.burst}, model.Fleet{Zones: zones})
			groups := Groups(shares)
			position := map[ShareID]int{}
			if len(groups) == 1 {
				shares = groups[0]
			}
			for i, s := range shares {
				position[s.ShareID] = i
			}
			p := NewPool(PoolOptions{Customer: "c", Node: "a", Incarnation: 1, Zone: "x"})
			now := time.Unix(1000, 0)
			for _, answers := range test.rounds {
				for range 2500 {
					now = now.Add(time.Millisecond)
					for {
						req, ok := p.NextRequest(p.Candidates(groups, now), 1, now)
						if !ok {
							break
						}
						answers[position[req.ShareID]](p, req, now)
					}
				}
			}
			got := p.RateWithoutHolder(groups, now).Float() / 60
			assert.Assert(t, math.Abs(got-test.want) < 0.001, "%.3f of the rate", got)
		})
	}
}

// TestLateReplyIsNoLoss guards against a grace period that takes a holder with a late reply, or
// one whose reply was lost, for a lost one.
func TestLateReplyIsNoLoss(t *testing.T) {
	zones := []model.ZoneWeight{{Name: "x", Weight: 1}}
	groups := Groups(SplitCustomer("c", model.Customer{Rate: 60, Burst: 12}, model.Fleet{Zones: zones}))
	p := NewPool(PoolOptions{Customer: "c", Node: "a", Incarnation: 1, Zone: "x"})
	now := time.Unix(1000, 0)
	req, ok := p.NextRequest(p.Candidates(groups, now), 1, now)
	assert.Assert(t, ok)
	for range 200 {
		now = now.Add(time.Millisecond)
		assert.Equal(t, p.RateWithoutHolder(groups, now), Amount(0))
	}
	p.HandleReply(BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true}, now)
	now = now.Add(time.Second)
	_, ok = p.NextRequest(p.Candidates(groups, now), 1, now)
	assert.Assert(t, ok)
	now = now.Add(100 * time.Millisecond)
	assert.Equal(t, p.RateWithoutHolder(groups, now), Amount(0))
}

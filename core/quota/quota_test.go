package quota

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/model"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func zones(weights ...float64) []model.ZoneWeight {
	var out []model.ZoneWeight
	for i, w := range weights {
		out = append(out, model.ZoneWeight{Name: string(rune('a' + i)), Weight: w})
	}
	return out
}

// TestSplit guards against shares that do not add up to the burst and against shares
// with a burst below one token.
func TestSplit(t *testing.T) {
	for _, c := range []struct {
		rate    float64
		burst   int64
		weights []float64
		want    string // burst of each slot by zone, in tokens
	}{
		{300, 600, []float64{1. / 3, 1. / 3, 1. / 3}, "a:100+100 b:100+100 c:100+100"},
		{10, 7, []float64{1. / 3, 1. / 3, 1. / 3}, "a:2 b:3 c:2"},
		{10, 10, []float64{0.8, 0.1, 0.1}, "a:8 b:1 c:1"},
		{10, 25, []float64{1. / 3, 1. / 3, 1. / 3}, "a:4+4 b:4+5 c:4+4"},
		{0.1, 3, []float64{0.8, 0.1, 0.1}, "a:1 b:1 c:1"},
		{10, 8, []float64{0.25, 0.25, 0.25}, "a:2 b:2 c:2"},
		{10, 8, []float64{0.5, 0, 0.5}, "a:4 c:4"},
		{10, 40, []float64{0.5, 0, 0.5}, "a:10+10 c:10+10"},
		{10, 5, nil, ""},
	} {
		t.Run(fmt.Sprint(c.burst, c.weights), func(t *testing.T) {
			got, zone := "", ""
			for _, s := range SplitCustomer("x", model.Customer{Rate: c.rate, Burst: c.burst}, model.Fleet{Zones: zones(c.weights...)}) {
				switch {
				case s.Zone == zone:
					got += "+"
				case zone != "":
					got += " "
				}
				if s.Zone != zone {
					got += s.Zone + ":"
				}
				got, zone = got+fmt.Sprint(int64(s.Burst/Token)), s.Zone
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// TestSplitSums guards against shares whose sums differ from the rate and burst, and
// against zones that together exceed the higher of two bursts while some of them still
// use the earlier one.
func TestSplitSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "zones")
		weights := make([]float64, n)
		for i := range weights {
			weights[i] = 1 / float64(n)
		}
		name := rapid.SampledFrom([]string{"press", "x", "koorbank"}).Draw(t, "customer")
		rate := rapid.Float64Range(0.01, 1e6).Draw(t, "rate")
		burst := rapid.Int64Range(1, 100).Draw(t, "burst")
		if rapid.Bool().Draw(t, "large") {
			burst *= 999_983
		}
		byZone := func(burst int64) map[string]Amount {
			sums := map[string]Amount{}
			var r, b Amount
			for _, s := range Split(name, PerSecond(rate), Tokens(burst), zones(weights...)) {
				assert.Assert(t, s.Burst >= Token && s.Burst%Token == 0 && s.Rate >= 0)
				sums[s.Zone] += s.Burst
				r += s.Rate
				b += s.Burst
			}
			assert.Equal(t, r, PerSecond(rate))
			assert.Equal(t, b, Tokens(burst))
			assert.Equal(t, len(sums), int(min(burst, int64(n))))
			return sums
		}
		low, high := byZone(burst), byZone(burst+rapid.Int64Range(1, 3).Draw(t, "more"))
		for zone, b := range low {
			assert.Assert(t, high[zone] >= b, "zone %s", zone)
		}
	})
}

// TestNewZoneTakesTheRest guards against a new zone whose share includes tokens of other
// zones. A partitioned zone may still use the weights from before the new zone.
func TestNewZoneTakesTheRest(t *testing.T) {
	for burst := int64(1); burst < 60; burst++ {
		lowered := Split("x", PerSecond(7), Tokens(burst), zones(0.25, 0.25, 0.25))
		added := Split("x", PerSecond(7), Tokens(burst), zones(0.25, 0.25, 0.25, 0.25))
		for i, s := range added {
			if i < len(lowered) {
				assert.Equal(t, s, lowered[i])
			} else {
				assert.Equal(t, s.Zone, "d")
			}
		}
	}
}

var share = Share{ShareID: ShareID{Customer: "press", Zone: "a"}, Slots: 1, Rate: 10 * Token, Burst: 20 * Token}

// borrowRequest returns a request of node a1 for n tokens of share.
func borrowRequest(seq uint64, n Amount, reports ...LoanReport) BorrowRequest {
	return BorrowRequest{
		ShareID: share.ShareID, LoanID: LoanID{Borrower: "a1", Incarnation: 1, Seq: seq},
		BorrowerZone: "a", Amount: n, Reports: reports,
	}
}

const longLease = time.Hour // lease that does not expire during a test

// TestBucket guards against holders that create tokens: from duplicate requests and
// reports, from expired loans, or from outstanding loans that do not count against the
// burst.
func TestBucket(t *testing.T) {
	type step struct {
		at          time.Duration
		req         BorrowRequest
		grant       Amount
		level, lent Amount // after the step, in whole tokens
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"lent tokens keep the bucket from refilling", []step{
			{0, borrowRequest(1, 20*Token), 20, 0, 20},
			{time.Second, borrowRequest(2, Token), 0, 0, 20},
		}},
		{"spent tokens are refilled at the rate", []step{
			{0, borrowRequest(1, 20*Token), 20, 0, 20},
			{0, borrowRequest(2, 0, LoanReport{1, 20 * Token, 0}), 0, 0, 0},
			{time.Second, borrowRequest(3, 0), 0, 10, 0},
		}},
		{"returned tokens are there at once", []step{
			{0, borrowRequest(1, 20*Token), 20, 0, 20},
			{0, borrowRequest(2, 0, LoanReport{1, 5 * Token, 15 * Token}), 0, 15, 0},
		}},
		{"expired tokens are lost", []step{
			{0, borrowRequest(1, 20*Token), 20, 0, 20},
			{LoanTime + DriftMargin - 1, borrowRequest(2, 0), 0, 0, 20},
			{LoanTime + DriftMargin, borrowRequest(3, 0), 0, 0, 0},
			{LoanTime + DriftMargin, borrowRequest(4, 0, LoanReport{1, 0, 20 * Token}), 0, 0, 0},
		}},
		{"a repeated request gets the same loan", []step{
			{0, borrowRequest(1, 5*Token), 5, 15, 5},
			{0, borrowRequest(1, 5*Token), 5, 15, 5},
		}},
		{"an overtaken request gets nothing", []step{
			{0, borrowRequest(2, 5*Token), 5, 15, 5},
			{0, borrowRequest(1, 5*Token), 0, 15, 5},
		}},
		{"repeated and older reports count once", []step{
			{0, borrowRequest(1, 10*Token), 10, 10, 10},
			{0, borrowRequest(3, 0, LoanReport{1, 4 * Token, 2 * Token}), 0, 12, 4},
			{0, borrowRequest(3, 0, LoanReport{1, 4 * Token, 2 * Token}), 0, 12, 4},
			{0, borrowRequest(2, 0, LoanReport{1, 4 * Token, 0}), 0, 12, 4},
		}},
		{"a report beyond the loan is ignored", []step{
			{0, borrowRequest(1, 10*Token), 10, 10, 10},
			{0, borrowRequest(2, 0, LoanReport{1, 4 * Token, 7 * Token}), 0, 10, 10},
			{0, borrowRequest(3, 0, LoanReport{9, 0, 7 * Token}), 0, 10, 10},
		}},
		{"whole tokens unless a request waits", []step{
			{0, borrowRequest(1, 19*Token+Token/2), 19, 0, 19},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBucket(share, true, start)
			for i, s := range c.steps {
				reply := b.Borrow(s.req, at(longLease), at(s.at))
				level, lent := b.Level(at(s.at)), b.Outstanding(at(s.at))
				assert.Equal(t, reply.Grant/Token, s.grant, "step %d", i)
				assert.Equal(t, level/Token, s.level, "step %d", i)
				assert.Equal(t, lent/Token, s.lent, "step %d", i)
				assert.Assert(t, level+lent <= share.Burst, "step %d", i)
			}
		})
	}
}

// TestBucketChange guards against tokens that are created by a change of the burst.
func TestBucketChange(t *testing.T) {
	b := NewBucket(share, true, start)
	b.Borrow(borrowRequest(1, 15*Token), at(longLease), start)
	low, high := share, share
	low.Burst, high.Burst = 10*Token, 100*Token
	b.SetShare(low, start)
	assert.Equal(t, b.Level(at(0)), Amount(0))
	b.SetShare(high, start)
	assert.Equal(t, b.Level(at(0)), Amount(0))
	assert.Equal(t, b.Level(at(time.Second/2)), 5*Token)
}

// TestLoanEndsWithLease guards against loans that outlast the lease of their holder.
// After the lease the next holder may lend the same tokens.
func TestLoanEndsWithLease(t *testing.T) {
	b := NewBucket(share, true, start)
	assert.Equal(t, b.Borrow(borrowRequest(1, Token), at(300*time.Millisecond), start).Valid, 300*time.Millisecond)
	assert.Equal(t, b.Borrow(borrowRequest(2, Token), start, start), BorrowReply{ShareID: share.ShareID, Seq: 2})
}

// TestReserve guards against loans to other zones of tokens that the share's own zone
// needs.
func TestReserve(t *testing.T) {
	b := NewBucket(share, true, start)
	own := borrowRequest(1, 0)
	own.Demand = 20 * Token
	b.Borrow(own, at(longLease), start)
	other := borrowRequest(1, 20*Token)
	other.Borrower, other.BorrowerZone = "b1", "b"
	assert.Equal(t, b.Borrow(other, at(longLease), start).Grant, 15*Token)
	assert.Equal(t, b.Borrow(borrowRequest(2, 20*Token), at(longLease), start).Grant, 5*Token)
}

func newPool() *Pool {
	return NewPool(PoolOptions{Customer: "press", Node: "a1", Incarnation: 1, Zone: "a"})
}

// grantLoan lets the pool send a request at the time sent and grants it n tokens in a
// reply at the time received.
func grantLoan(t *testing.T, p *Pool, waiting int, n Amount, sent, received time.Duration) BorrowReply {
	req, ok := p.NextRequest([]ShareID{share.ShareID}, waiting, at(sent))
	assert.Assert(t, ok && req.Amount >= n, "%v", req)
	reply := BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true, Grant: n, Valid: time.Second}
	p.HandleReply(reply, at(received))
	return reply
}

// TestPool guards against tokens that a borrower uses twice or after their expiry.
func TestPool(t *testing.T) {
	take := func(p *Pool, d time.Duration) bool {
		_, ok := p.RetryTake(at(d))
		return ok
	}
	t.Run("valid from the sending", func(t *testing.T) {
		p := newPool()
		grantLoan(t, p, 2, 2*Token, 0, 500*time.Millisecond)
		assert.Assert(t, take(p, time.Second-1))
		assert.Assert(t, !take(p, time.Second))
		assert.Equal(t, p.CollectExpired(), Token)
		assert.Equal(t, p.CollectExpired(), Amount(0))
	})
	t.Run("late reply", func(t *testing.T) {
		p := newPool()
		grantLoan(t, p, 1, Token, 0, time.Second)
		assert.Equal(t, p.Available(at(time.Second)), Amount(0))
	})
	t.Run("repeated reply", func(t *testing.T) {
		p := newPool()
		p.HandleReply(grantLoan(t, p, 1, Token, 0, 1), at(2))
		assert.Equal(t, p.Available(at(2)), Token)
	})
	t.Run("reply not asked for", func(t *testing.T) {
		p := newPool()
		p.HandleReply(BorrowReply{ShareID: share.ShareID, Seq: 7, IsHolder: true, Grant: Token, Valid: time.Second}, start)
		assert.Equal(t, p.Available(start), Amount(0))
	})
	t.Run("give back", func(t *testing.T) {
		p := newPool()
		grantLoan(t, p, 2, 2*Token, 0, 1)
		ch, ok := p.RetryTake(at(2))
		assert.Assert(t, ok)
		p.Release(&ch, at(3))
		p.Release(&ch, at(4))
		assert.Equal(t, p.Available(at(5)), 2*Token)
	})
	t.Run("give back after the report", func(t *testing.T) {
		p := newPool()
		grantLoan(t, p, 1, Token, 0, 1)
		ch, _ := p.RetryTake(at(2))
		req, ok := p.NextRequest([]ShareID{share.ShareID}, 0, at(time.Second/2))
		assert.Assert(t, ok)
		assert.DeepEqual(t, req.Reports, []LoanReport{{Seq: 1, Spent: Token}})
		p.Release(&ch, at(time.Second/2))
		assert.Equal(t, p.Available(at(time.Second/2)), Amount(0))
	})
	t.Run("returned tokens are gone", func(t *testing.T) {
		p := newPool()
		grantLoan(t, p, 1, Token, 0, 1)
		p.NextRequest(nil, 0, at(StockTime+1))
		assert.Assert(t, !take(p, StockTime+1))
		req, ok := p.NextRequest(nil, 0, at(StockTime+1+reportDelay))
		assert.Assert(t, ok)
		assert.DeepEqual(t, req.Reports, []LoanReport{{Seq: 1, Returned: Token}})
	})
	t.Run("parts make a token", func(t *testing.T) {
		p := newPool()
		grantLoan(t, p, 1, Token/2, 0, 1)
		assert.Assert(t, !take(p, 2))
		grantLoan(t, p, 1, Token/2, 2, 3)
		assert.Assert(t, take(p, 4))
		assert.Equal(t, p.Available(at(5)), Amount(0))
	})
}

// TestPoolOrder guards against requests to other zones before those to the own zone, and
// against a failed holder that delays waiting requests beyond HedgeDelay.
func TestPoolOrder(t *testing.T) {
	p := newPool()
	ids := []ShareID{{"press", "b", 0}, {"press", "a", 0}, {"press", "a", 1}}
	var asked []string
	for i := range 4 {
		req, ok := p.NextRequest(ids, 1, at(time.Duration(i)*HedgeDelay))
		if ok {
			asked = append(asked, fmt.Sprint(req.Zone, req.Slot))
		}
	}
	assert.DeepEqual(t, asked, []string{"a0", "a1", "b0"})
	assert.Equal(t, p.InFlight(at(4*HedgeDelay)), 3)
	assert.Equal(t, p.InFlight(at(4*HedgeDelay+replyTimeout)), 0)
}

// TestShortGrant guards against two failures after grants of less than the requested
// amount: refusals although several shares together hold a whole token, because the
// pool waits too long, and constant requests to the holders for a customer that exceeds
// its rate.
func TestShortGrant(t *testing.T) {
	p := newPool()
	now := time.Duration(0)
	short := func() {
		req, ok := p.NextRequest([]ShareID{share.ShareID}, 1, at(now))
		assert.Assert(t, ok, "no request at %v", now)
		p.HandleReply(BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true, RetryAfter: maxRetry, Valid: time.Second}, at(now))
	}
	for _, wait := range []time.Duration{shortGrantRetry, 2 * shortGrantRetry, 4 * shortGrantRetry, maxRetry, maxRetry} {
		short()
		_, ok := p.NextRequest([]ShareID{share.ShareID}, 1, at(now+wait-1))
		assert.Assert(t, !ok, "request before the retry delay of %v elapsed", wait)
		now += wait
	}
	grantLoan(t, p, 1, Token, now, now)
	_, ok := p.RetryTake(at(now))
	assert.Assert(t, ok)
	short()
	now += shortGrantRetry
	short()
}

// TestNextToken guards against refusals that ask callers to come back at the same time,
// before a token has accrued, or all the time while no share has a holder.
func TestNextToken(t *testing.T) {
	const interval = 200 * time.Millisecond
	p := newPool()
	req, ok := p.NextRequest([]ShareID{share.ShareID}, 1, start)
	assert.Assert(t, ok)
	p.HandleFailure(req.Seq, start)
	assert.Equal(t, p.NextToken(interval, start), noHolderDelay)
	assert.Equal(t, p.NextToken(interval, start), noHolderDelay)

	b := NewBucket(Share{ShareID: share.ShareID, Slots: 1, Rate: 5 * Token, Burst: 5 * Token}, false, start)
	now := time.Second / 10 // half a token has accrued
	first := borrowRequest(1, Token)
	first.Urgent, first.Whole = true, true
	second := first
	second.Seq = 2
	assert.Equal(t, b.Borrow(first, at(longLease), at(now)).NextToken, interval/2)
	assert.Equal(t, b.Borrow(second, at(longLease), at(now)).NextToken, interval/2+interval)

	p = newPool()
	req, ok = p.NextRequest([]ShareID{share.ShareID}, 1, start)
	assert.Assert(t, ok)
	p.HandleReply(BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true, NextToken: 500 * time.Millisecond, RetryAfter: maxRetry}, start)
	assert.Equal(t, p.NextToken(interval, start), 500*time.Millisecond)
	assert.Equal(t, p.NextToken(interval, start), 500*time.Millisecond+interval)
}

// TestHolderStart guards against buckets that start full although an earlier holder may
// have lent tokens of the share, and against buckets that keep their level although
// another node owned the share in the meantime.
func TestHolderStart(t *testing.T) {
	self, other := epoch.Member{Name: "a1", Incarnation: 1, Zone: "a"}, epoch.Member{Name: "a2", Incarnation: 1, Zone: "a"}
	s := epoch.NewState()
	tr := epoch.NewTracker(s)
	h := NewHolder(self, s, tr)
	shares := []Share{share}
	epochs := 0
	appendEpoch := func(members ...epoch.Member) {
		data, err := epoch.Encode(epoch.Record{Epoch: &epoch.Epoch{Zone: "a", Number: uint64(epochs + 1), Base: uint64(epochs), Members: members}})
		assert.NilError(t, err)
		assert.Equal(t, s.Apply(uint64(epochs), data), "a")
		epochs++
	}
	created := func(offset uint64) func(string) (uint64, bool) {
		return func(string) (uint64, bool) { return offset, true }
	}
	level := func() Amount { return h.Bucket(share.ShareID).Level(start) }

	assert.Assert(t, h.Sync(shares, nil, start), "no epoch yet")
	appendEpoch(other)
	appendEpoch(self)
	assert.Assert(t, h.Sync(shares, created(9), start), "the previous epoch is not retired")
	h.RecordConfigRead(5, start, start)
	tr.MergeRetired("a", 1)
	h.RecordConfigRead(5, start, at(1))
	assert.Assert(t, !h.Sync(shares, created(9), at(1)))
	assert.Equal(t, level(), Amount(0), "the configuration read began before the previous epoch was retired")
	h.Sync(nil, nil, at(2))
	h = NewHolder(self, s, tr)
	h.RecordConfigRead(5, at(3), at(3))
	h.RecordConfigRead(5, at(4), at(4))
	h.Sync(shares, created(4), at(5))
	assert.Equal(t, level(), Amount(0), "the customer was created before the configuration read ended")
	h = NewHolder(self, s, tr)
	h.RecordConfigRead(5, at(3), at(3))
	h.Sync(shares, created(5), at(5))
	assert.Equal(t, level(), share.Burst)
	appendEpoch(other)
	appendEpoch(self)
	tr.MergeRetired("a", 3)
	h.Sync(shares, created(5), at(6))
	assert.Equal(t, level(), Amount(0), "another node owned the share in the meantime")
}

// TestMessageFields guards against fields that are lost in the MessagePack encoding, such
// as those of embedded structs.
func TestMessageFields(t *testing.T) {
	checkFields[BorrowRequest](t)
	checkFields[BorrowReply](t)
	checkFields[CapacityRequest](t)
	checkFields[CapacityReply](t)
}

// checkFields encodes and decodes a message of which every field has another value.
func checkFields[T any](t *testing.T) {
	t.Helper()
	var want, got T
	next := int64(0)
	fillFields(reflect.ValueOf(&want).Elem(), &next)
	assert.Assert(t, next > 4, "%T has %d fields", want, next)
	data, err := msgpack.Marshal(want)
	assert.NilError(t, err)
	assert.NilError(t, msgpack.Unmarshal(data, &got))
	assert.Equal(t, fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want))
}

// fillFields sets each exported field to a value that differs from its zero value and from
// those of the other fields.
func fillFields(v reflect.Value, next *int64) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Field(i); f.CanSet() {
				fillFields(f, next)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillFields(v.Index(0), next)
		fillFields(v.Index(1), next)
	case reflect.String:
		v.SetString(fmt.Sprint("value ", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next))
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	default:
		v.SetInt(*next)
	}
}

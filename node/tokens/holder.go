package tokens

import (
	"context"
	"math"
	"strings"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

// syncInterval is how often the holder checks whether shares that are pending until
// the retirement of an epoch can be lent.
const syncInterval = 500 * time.Millisecond

// holder lends tokens of the shares that the node holds. It keeps them up to date with
// the configuration and the epoch.
type holder struct {
	zones   *zones.Zones
	store   *store.Store
	metrics *metric.Set

	// The lock of zones guards the fields below.
	quota   *quota.Holder
	pending bool // some shares cannot be lent until an earlier epoch is retired

	alone chan struct{} // signals CollectCapacity that a bucket lacks the capacity of its group
}

func newHolder(z *zones.Zones, st *store.Store, m *metric.Set) *holder {
	h := &holder{zones: z, store: st, metrics: m, alone: make(chan struct{}, 1)}
	z.WithView(func(v zones.View) { h.quota = quota.NewHolder(z.Self(), v.State, v.Tracker) })
	z.OnAdopt(func(_ zones.View, now time.Time) { h.sync(now) })
	st.OnChange(func(*store.Config) {
		z.WithView(func(zones.View) { h.sync(time.Now()) })
	})
	return h
}

// sync updates the buckets to match the configuration and the epoch. The caller must
// hold the lock of zones.
func (h *holder) sync(now time.Time) {
	cur := h.store.Current()
	if cur == nil {
		return
	}
	h.pending = h.quota.Sync(allShares(cur.View), creationOffset(cur.View), now)
}

// creationOffset returns a function that looks up the offset of the configuration
// change that created an account.
func creationOffset(v *config.View) func(string) (uint64, bool) {
	return func(account string) (uint64, bool) {
		rev, ok := v.Created[objectOf(account)]
		if !ok || rev == 0 {
			return 0, false
		}
		return rev - 1, true // a revision is the offset of its change plus one
	}
}

// runSync is the background task that calls recordReadAndSync every syncInterval.
func (h *holder) runSync(ctx context.Context) error {
	return super.Every(ctx, syncInterval, func(now time.Time) {
		age := h.store.Age(boot.Now())
		end := h.store.LogEnd()
		h.zones.WithView(func(zones.View) { h.recordReadAndSync(now, age, end) })
	})
}

// recordReadAndSync records the last read of the configuration stream, which was age
// ago and ended at the offset end, and updates the buckets if shares are pending.
func (h *holder) recordReadAndSync(now time.Time, age time.Duration, end uint64) {
	if age < math.MaxInt64 {
		h.quota.RecordConfigRead(end, now.Add(-age), now)
	}
	if h.pending {
		h.sync(now)
	}
}

// borrow handles a borrow request. It reads the clock after it acquired the lock: a
// time from before could make a lease look valid that expired during the wait.
func (h *holder) borrow(req quota.BorrowRequest) quota.BorrowReply {
	var reply quota.BorrowReply
	h.zones.WithView(func(v zones.View) {
		now := time.Now()
		reply = h.quota.Borrow(req, v.Lease.Expiry(now), now)
	})
	if reply.Alone {
		select {
		case h.alone <- struct{}{}:
		default:
		}
	}
	h.metrics.Add(metric.TokensLent, milliTokens(reply.Grant))
	return reply
}

// capacityRequests returns the capacity requests of the held shares that are due.
func (h *holder) capacityRequests(now time.Time) []quota.CapacityRequest {
	var out []quota.CapacityRequest
	h.zones.WithView(func(v zones.View) {
		if v.Lease.Valid(now) {
			out = h.quota.CapacityRequests(now)
		}
	})
	return out
}

// release gives up all shares and returns the messages to the lenders of their capacity.
func (h *holder) release(now time.Time) []quota.CapacityRequest {
	var out []quota.CapacityRequest
	h.zones.WithView(func(zones.View) { out = h.quota.Release(now) })
	return out
}

// lendCapacity handles a capacity request. It reads the clock like borrow.
func (h *holder) lendCapacity(req quota.CapacityRequest) quota.CapacityReply {
	var reply quota.CapacityReply
	h.zones.WithView(func(v zones.View) {
		now := time.Now()
		reply = h.quota.LendCapacity(req, v.Lease.Expiry(now), now)
	})
	return reply
}

// handleCapacity processes the reply to a capacity request.
func (h *holder) handleCapacity(req quota.CapacityRequest, reply quota.CapacityReply) {
	h.zones.WithView(func(zones.View) { h.quota.HandleCapacity(req, reply, time.Now()) })
}

// milliTokens converts an amount to thousandths of a token for metrics.
func milliTokens(a quota.Amount) int64 {
	return int64(a / (quota.Token / 1000))
}

// openPrefix is the prefix of account names of open routes. No customer has such a
// name, because customer names cannot contain a slash.
const openPrefix = "open/"

// OpenRouteAccount returns the name of the account for requests to an open route that
// have no key.
func OpenRouteAccount(route string) string {
	return openPrefix + route
}

// objectOf returns the identifier of the configuration object that defines an account.
func objectOf(account string) config.ObjectID {
	if route, ok := strings.CutPrefix(account, openPrefix); ok {
		return config.ObjectID{Kind: model.KindRoute, Name: route}
	}
	return config.ObjectID{Kind: model.KindCustomer, Name: account}
}

// sharesOf returns the shares of one account, or none if the account does not exist.
func sharesOf(v *config.View, account string) []quota.Share {
	id := objectOf(account)
	if id.Kind == model.KindRoute {
		r, ok := v.Routes[id.Name]
		if !ok || !r.Open {
			return nil
		}
		return quota.SplitCustomer(account, model.Customer{Rate: r.OpenRate, Burst: r.OpenBurst}, v.Fleet)
	}
	c, ok := v.Customers[account]
	if !ok {
		return nil
	}
	return quota.SplitCustomer(account, c, v.Fleet)
}

// allShares returns the shares of all customers and open routes.
func allShares(v *config.View) []quota.Share {
	var out []quota.Share
	for name := range v.Customers {
		out = append(out, sharesOf(v, name)...)
	}
	for name, r := range v.Routes {
		if r.Open {
			out = append(out, sharesOf(v, OpenRouteAccount(name))...)
		}
	}
	return out
}

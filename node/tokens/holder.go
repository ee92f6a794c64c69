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

// syncEvery is how often shares that wait for the retirement of an epoch are
// looked at again.
const syncEvery = 500 * time.Millisecond

// holder lends the tokens of the shares that the node holds.
type holder struct {
	zones   *zones.Zones
	store   *store.Store
	metrics *metric.Set

	// The fields below are guarded by the lock of zones.
	quota *quota.Holder
	waits bool
}

func newHolder(z *zones.Zones, st *store.Store, m *metric.Set) *holder {
	h := &holder{zones: z, store: st, metrics: m}
	z.WithView(func(v zones.View) { h.quota = quota.NewHolder(z.Self(), v.State, v.Tracker) })
	z.OnAdopt(func(_ zones.View, now time.Time) { h.sync(now) })
	st.OnChange(func(*store.Config) {
		z.WithView(func(zones.View) { h.sync(time.Now()) })
	})
	return h
}

// sync brings the buckets in line with the configuration and the epoch. The
// caller holds the lock of zones.
func (h *holder) sync(now time.Time) {
	cur := h.store.Current()
	if cur == nil {
		return
	}
	h.waits = h.quota.Sync(allShares(cur.View), created(cur.View), now)
}

// created returns the function that tells the offset of the change that created
// an account.
func created(v *config.View) func(string) (uint64, bool) {
	return func(account string) (uint64, bool) {
		rev, ok := v.Created[objectOf(account)]
		if !ok || rev == 0 {
			return 0, false
		}
		return rev - 1, true // a revision is the offset of its change plus one
	}
}

// watch is the duty that looks again at waiting shares.
func (h *holder) watch(ctx context.Context) error {
	return super.Every(ctx, syncEvery, func(now time.Time) {
		age := h.store.Age(boot.Now())
		end := h.store.LogEnd()
		h.zones.WithView(func(zones.View) { h.look(now, age, end) })
	})
}

// look tells the holder how far the stream is read and starts the shares that
// waited.
func (h *holder) look(now time.Time, age time.Duration, end uint64) {
	if age < math.MaxInt64 {
		h.quota.RecordConfigRead(end, now.Add(-age), now)
	}
	if h.waits {
		h.sync(now)
	}
}

// borrow answers a borrow request. The time is read under the lock, so that a
// wait for it can't make the lease look valid.
func (h *holder) borrow(req quota.BorrowRequest) quota.BorrowReply {
	var reply quota.BorrowReply
	h.zones.WithView(func(v zones.View) {
		now := time.Now()
		reply = h.quota.Borrow(req, v.Lease.Expiry(now), now)
	})
	h.metrics.Add(metric.TokensLent, milli(reply.Grant))
	return reply
}

func milli(a quota.Amount) int64 {
	return int64(a / (quota.Token / 1000))
}

// openPrefix starts the names of the accounts of open routes. Names of customers
// can't contain it, as the slash is not allowed there.
const openPrefix = "open/"

// OpenRouteAccount names the account of an open route's requests without a key.
func OpenRouteAccount(route string) string {
	return openPrefix + route
}

func objectOf(account string) config.ObjectID {
	if route, ok := strings.CutPrefix(account, openPrefix); ok {
		return config.ObjectID{Kind: model.KindRoute, Name: route}
	}
	return config.ObjectID{Kind: model.KindCustomer, Name: account}
}

// sharesOf returns the shares of one account, none if it doesn't exist.
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

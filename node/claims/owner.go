package claims

import (
	"time"

	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/node/zones"
)

// ownership returns what this node knows about its right to run a caller's key.
func (c *Coordinator) ownership(key claim.Key, now time.Time) claim.Ownership {
	if key.Kind == claim.KindIssued {
		return claim.Ownership{}
	}
	var own claim.Ownership
	names := c.zoneNames()
	c.zones.WithView(func(v zones.View) {
		self := c.zones.Self()
		m, ok := v.State.ClaimOwner(key.String(), names...)
		if !ok || !m.Same(self) {
			return
		}
		since, ok := c.exclusiveSince(v, self, key, now)
		own = claim.Ownership{Owner: ok, LeaseValid: v.Lease.Valid(now), ExclusiveSince: since}
	})
	return own
}

// exclusiveSince returns when every epoch under which another process owned the
// key was retired, or the zero time if there was none. It returns false while
// such an epoch is not retired. The caller holds the lock of zones.
func (c *Coordinator) exclusiveSince(v zones.View, self epoch.Member, key claim.Key, now time.Time) (time.Time, bool) {
	c.recordRetired(v, self.Zone, now)
	owner := func(e epoch.Epoch) epoch.Member { return e.Slots(key.String(), 1)[0] }
	if !v.Tracker.MayUse(self, owner, now) {
		return time.Time{}, false
	}
	// Another process may have run the key before the first of the consecutive
	// epochs, up to the current one, in which this process is the owner.
	epochs := v.State.Epochs(self.Zone)
	first := len(epochs) - 1
	for first > 0 && owner(epochs[first-1]).Same(self) {
		first--
	}
	if first == 0 && epochs[0].Number == 1 {
		return time.Time{}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range epochs[first:] {
		if at, ok := c.earlierRetired[e.Number]; ok {
			return at, true
		}
	}
	return time.Time{}, false
}

// recordRetired records for each epoch of the zone that is retained when all
// earlier ones were first seen retired. The caller holds the lock of zones.
func (c *Coordinator) recordRetired(v zones.View, zone string, now time.Time) {
	through := v.Tracker.Retired(zone, now)
	epochs := v.State.Epochs(zone)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range epochs {
		if _, ok := c.earlierRetired[e.Number]; !ok && e.Number <= through+1 {
			c.earlierRetired[e.Number] = now
		}
	}
	for n := range c.earlierRetired {
		if len(epochs) > 0 && n < epochs[0].Number {
			delete(c.earlierRetired, n)
		}
	}
}

// RecordRetiredEpochs records which epochs are retired. It is called at short
// intervals, because a time that is recorded late makes this node refuse keys
// that it may run.
func (c *Coordinator) RecordRetiredEpochs(now time.Time) {
	c.zones.WithView(func(v zones.View) { c.recordRetired(v, c.zones.Self().Zone, now) })
}

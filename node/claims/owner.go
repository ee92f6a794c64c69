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
		since, ok := c.since(v, self, key, now)
		own = claim.Ownership{Owner: ok, LeaseValid: v.Lease.Valid(now), ExclusiveSince: since}
	})
	return own
}

// since returns when every epoch was retired under which another process owned
// the key, or the zero time if there was none. It reports false while there is one
// that is not retired. The caller holds the lock of zones.
func (c *Coordinator) since(v zones.View, self epoch.Member, key claim.Key, now time.Time) (time.Time, bool) {
	c.noteRetired(v, self.Zone, now)
	owner := func(e epoch.Epoch) epoch.Member { return e.Slots(key.String(), 1)[0] }
	if !v.Tracker.MayUse(self, owner, now) {
		return time.Time{}, false
	}
	// The first epoch of the unbroken run of epochs in which this process is the
	// owner decides. Before it another process may have run the key.
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
		if at, ok := c.retired[e.Number]; ok {
			return at, true
		}
	}
	return time.Time{}, false
}

// noteRetired records for each kept epoch when all earlier ones were first seen
// retired. The caller holds the lock of zones.
func (c *Coordinator) noteRetired(v zones.View, zone string, now time.Time) {
	through := v.Tracker.Retired(zone, now)
	epochs := v.State.Epochs(zone)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range epochs {
		if _, ok := c.retired[e.Number]; !ok && e.Number <= through+1 {
			c.retired[e.Number] = now
		}
	}
	for n := range c.retired {
		if len(epochs) > 0 && n < epochs[0].Number {
			delete(c.retired, n)
		}
	}
}

// RecordRetiredEpochs notes retired epochs. It is called for each adopted epoch and
// regularly, so that the times are no later than needed.
func (c *Coordinator) RecordRetiredEpochs(now time.Time) {
	c.zones.WithView(func(v zones.View) { c.noteRetired(v, c.zones.Self().Zone, now) })
}

package quota

import (
	"time"

	"dogwoodsill.org/core/epoch"
)

// OwnerOf returns the function that maps an epoch of the share's zone to the member
// that owns the share in it. The owner becomes the holder as soon as the tracker
// allows it, see Holder.Sync.
func OwnerOf(id ShareID) epoch.Owner {
	key := OwnerKey(id.Customer)
	return func(e epoch.Epoch) epoch.Member {
		return e.Slots(key, SlotsPerZone)[id.Slot]
	}
}

// Holder is the set of buckets of the shares that a node holds.
type Holder struct {
	self       epoch.Member
	state      *epoch.State
	tracker    *epoch.Tracker
	buckets    map[ShareID]*heldBucket
	started    map[ShareID]bool // shares for which this process ever created a bucket
	exclusive  exclusiveEpoch
	configRead configRead
	seq        uint64 // number of the latest capacity request
	released   bool   // the node gave up its shares for good
}

// heldBucket is the bucket of a share with its latest known ownership.
type heldBucket struct {
	*Bucket
	epoch    uint64 // latest epoch in which the node is known to own the share
	group    Group  // group of the share
	rank     int    // position of the share in the group
	requests map[ShareID]capacityRequestState
}

// exclusiveEpoch is the number of the zone's current epoch, if all earlier epochs are
// retired, and the time when the holder first saw that. Otherwise it is zero.
type exclusiveEpoch struct {
	epoch uint64
	since time.Time
}

// configRead is the end offset that was found by the first read of the configuration
// stream that began after all epochs before the given one were retired.
type configRead struct {
	epoch uint64
	end   uint64
}

// NewHolder returns a holder without shares for the node self, with the node's epoch
// state and tracker.
func NewHolder(self epoch.Member, s *epoch.State, t *epoch.Tracker) *Holder {
	return &Holder{
		self:    self,
		state:   s,
		tracker: t,
		buckets: map[ShareID]*heldBucket{},
		started: map[ShareID]bool{},
	}
}

// RecordConfigRead records that a read of the configuration stream that began at the
// given time found end as the offset after the last record, and that the records
// before end are applied.
//
// A customer whose first record has the offset end or a higher one did not exist when
// the read began. If all earlier epochs of the zone were retired at that time, no
// earlier holder can have had a bucket of this customer. Its buckets therefore start
// full as long as the zone has the same epoch.
func (h *Holder) RecordConfigRead(end uint64, began, now time.Time) {
	h.updateExclusive(now)
	if h.exclusive.epoch != h.configRead.epoch && !began.Before(h.exclusive.since) {
		h.configRead = configRead{epoch: h.exclusive.epoch, end: end}
	}
}

// updateExclusive updates h.exclusive from the epoch state and the tracker.
func (h *Holder) updateExclusive(now time.Time) {
	e, ok := h.state.Current(h.self.Zone)
	if !ok || h.state.HasGap(h.self.Zone) || h.tracker.Retired(h.self.Zone, now)+1 < e.Number {
		h.exclusive = exclusiveEpoch{}
		return
	}
	if h.exclusive.epoch != e.Number {
		h.exclusive = exclusiveEpoch{epoch: e.Number, since: now}
	}
}

// Sync updates the buckets to match the shares of all customers and the current
// epoch of the node's zone. It drops buckets whose share no longer exists or has, or
// had in the meantime, another owner. It updates rates and bursts in place and
// creates buckets as soon as the tracker allows it. Call it after each change of the
// configuration or of the epoch, before the node handles any message that it
// received later. Sync returns true if a share is pending because an earlier epoch
// is not retired yet. Then call it again regularly, as node/tokens does twice a second,
// to create the buckets that are allowed by then.
//
// created returns the offset of the first record of a customer in the configuration
// stream, if it is known. Buckets of new customers start full, see RecordConfigRead,
// all others empty. A nil created means that no customer is new.
func (h *Holder) Sync(shares []Share, created func(customer string) (uint64, bool), now time.Time) (pending bool) {
	if h.released {
		return false
	}
	current, ok := h.state.Current(h.self.Zone)
	if !ok || h.state.HasGap(h.self.Zone) {
		clear(h.buckets)
		return true
	}
	h.updateExclusive(now)
	keep := make(map[ShareID]bool, len(h.buckets))
	groups := groupsByShare(shares)
	for _, s := range shares {
		owner := OwnerOf(s.ShareID)
		if s.Zone != h.self.Zone || !owner(current).Same(h.self) {
			continue
		}
		if h.update(s, owner, current.Number, created, now) {
			keep[s.ShareID] = true
			h.buckets[s.ShareID].setGroup(groups[s.ShareID])
		} else {
			pending = true
		}
	}
	for id := range h.buckets {
		if !keep[id] {
			delete(h.buckets, id)
		}
	}
	return pending
}

// update updates the bucket of a share that the node owns in the current epoch, or
// creates it. It returns false if the tracker does not allow it yet.
func (h *Holder) update(s Share, owner epoch.Owner, epochNumber uint64, created func(string) (uint64, bool), now time.Time) bool {
	b := h.buckets[s.ShareID]
	if b != nil && h.state.OwnedSince(h.self, owner, b.epoch) {
		b.epoch = epochNumber
		if s != b.share {
			clear(b.requests) // ask for the capacity under the new configuration at once
		}
		b.SetShare(s, now)
		return true
	}
	if !h.tracker.MayUse(h.self, owner, now) {
		return false
	}
	full := !h.started[s.ShareID] && h.isNewCustomer(s.Customer, epochNumber, created)
	h.buckets[s.ShareID] = &heldBucket{Bucket: NewBucket(s, full, now), epoch: epochNumber, requests: map[ShareID]capacityRequestState{}}
	h.started[s.ShareID] = true
	return true
}

// setGroup records the group of the bucket's share. A share with a low burst counts as
// grouped also if it is the only one of its customer.
func (b *heldBucket) setGroup(g Group) {
	b.group, b.rank = g, g.rank(b.share.ShareID)
	b.grouped = len(g) > 1 || b.share.Burst < groupBurst
	b.later = len(g) - 1 - b.rank
}

// groupsByShare returns the group of each share of all customers.
func groupsByShare(shares []Share) map[ShareID]Group {
	byCustomer := map[string][]Share{}
	for _, s := range shares {
		byCustomer[s.Customer] = append(byCustomer[s.Customer], s)
	}
	out := make(map[ShareID]Group, len(shares))
	for _, list := range byCustomer {
		for _, g := range Groups(list) {
			for _, s := range g {
				out[s.ShareID] = g
			}
		}
	}
	return out
}

// isNewCustomer reports whether a customer was created after a read of the
// configuration stream that began when all epochs before the given one were retired.
func (h *Holder) isNewCustomer(customer string, epochNumber uint64, created func(string) (uint64, bool)) bool {
	if created == nil || epochNumber == 0 || h.exclusive.epoch != epochNumber || h.configRead.epoch != epochNumber {
		return false
	}
	offset, ok := created(customer)
	return ok && offset >= h.configRead.end
}

// ShareIDs returns the identifiers of the held shares in unspecified order.
func (h *Holder) ShareIDs() []ShareID {
	ids := make([]ShareID, 0, len(h.buckets))
	for id := range h.buckets {
		ids = append(ids, id)
	}
	return ids
}

// Bucket returns the bucket of a share, or nil if the node does not hold it.
func (h *Holder) Bucket(id ShareID) *Bucket {
	if b := h.buckets[id]; b != nil {
		return b.Bucket
	}
	return nil
}

// Borrow handles a borrow request of another node or of this node itself. until is
// when the lease of this node expires, see epoch.Lease.Expiry.
func (h *Holder) Borrow(req BorrowRequest, until, now time.Time) BorrowReply {
	b := h.buckets[req.ShareID]
	if b == nil || !now.Before(until) {
		return BorrowReply{ShareID: req.ShareID, Seq: req.Seq}
	}
	return b.Borrow(req, until, now)
}

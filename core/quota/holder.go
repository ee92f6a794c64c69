package quota

import (
	"time"

	"dogwoodsill.org/core/epoch"
)

// OwnerOf returns the function that maps a member list of the share's zone to
// the share's holder.
func OwnerOf(id ShareID) epoch.Owner {
	key := OwnerKey(id.Customer)
	return func(e epoch.Epoch) epoch.Member {
		return e.Slots(key, SlotsPerZone)[id.Slot]
	}
}

// Holder is the set of buckets of the shares that a node owns.
type Holder struct {
	self    epoch.Member
	state   *epoch.State
	tracker *epoch.Tracker
	buckets map[ShareID]*owned
	started map[ShareID]bool // shares that this process ever started
	sole    tenure
	read    readTo
}

type owned struct {
	*Bucket
	epoch uint64 // latest epoch under which the node is known to own the share
}

// tenure is since when an epoch is the only one of the zone that is not
// retired.
type tenure struct {
	epoch uint64
	since time.Time
}

// readTo is the end of the configuration stream during a tenure.
type readTo struct {
	epoch uint64
	end   uint64
}

// NewHolder returns a holder without any share. The state and the tracker are
// those of the node.
func NewHolder(self epoch.Member, s *epoch.State, t *epoch.Tracker) *Holder {
	return &Holder{
		self:    self,
		state:   s,
		tracker: t,
		buckets: map[ShareID]*owned{},
		started: map[ShareID]bool{},
	}
}

// RecordConfigRead tells that a read of the configuration stream that began at a time
// found end as the offset after the last record, and that the records before it
// are folded. Customers that are created later start full, as long as the epoch
// of the zone is the same and was the only one not retired when the read began:
// no holder before can have started them.
func (h *Holder) RecordConfigRead(end uint64, began, now time.Time) {
	h.settle(now)
	if h.sole.epoch != h.read.epoch && !began.Before(h.sole.since) {
		h.read = readTo{epoch: h.sole.epoch, end: end}
	}
}

func (h *Holder) settle(now time.Time) {
	e, ok := h.state.Current(h.self.Zone)
	if !ok || h.state.HasGap(h.self.Zone) || h.tracker.Retired(h.self.Zone, now)+1 < e.Number {
		h.sole = tenure{}
		return
	}
	if h.sole.epoch != e.Number {
		h.sole = tenure{epoch: e.Number, since: now}
	}
}

// Sync brings the buckets in line with the shares of all customers and the
// current epoch of the own zone. It drops buckets whose share ended or has or
// had another owner, changes rates and bursts in place, and starts buckets that
// the tracker allows. Call it after each change of the configuration or of the
// epoch, before the node answers any message that it received later, and twice
// a second while it reports true: then a share waits for the retirement of an
// earlier epoch.
//
// created returns the offset of the first record of a customer in the
// configuration stream, if it is known. Buckets of new customers start full,
// see ReadTo, all others empty. A nil created means that no customer is new.
func (h *Holder) Sync(shares []Share, created func(customer string) (uint64, bool), now time.Time) (waits bool) {
	current, ok := h.state.Current(h.self.Zone)
	if !ok || h.state.HasGap(h.self.Zone) {
		clear(h.buckets)
		return true
	}
	h.settle(now)
	keep := make(map[ShareID]bool, len(h.buckets))
	for _, s := range shares {
		owner := OwnerOf(s.ShareID)
		if s.Zone != h.self.Zone || !owner(current).Same(h.self) {
			continue
		}
		if h.start(s, owner, current.Number, created, now) {
			keep[s.ShareID] = true
		} else {
			waits = true
		}
	}
	for id := range h.buckets {
		if !keep[id] {
			delete(h.buckets, id)
		}
	}
	return waits
}

func (h *Holder) start(s Share, owner epoch.Owner, number uint64, created func(string) (uint64, bool), now time.Time) bool {
	b := h.buckets[s.ShareID]
	if b != nil && h.state.OwnedSince(h.self, owner, b.epoch) {
		b.epoch = number
		b.SetShare(s, now)
		return true
	}
	if !h.tracker.MayUse(h.self, owner, now) {
		return false
	}
	full := !h.started[s.ShareID] && h.fresh(s.Customer, number, created)
	h.buckets[s.ShareID] = &owned{Bucket: NewBucket(s, full, now), epoch: number}
	h.started[s.ShareID] = true
	return true
}

// fresh reports whether a customer was created during the tenure of the epoch.
func (h *Holder) fresh(customer string, number uint64, created func(string) (uint64, bool)) bool {
	if created == nil || number == 0 || h.sole.epoch != number || h.read.epoch != number {
		return false
	}
	offset, ok := created(customer)
	return ok && offset >= h.read.end
}

// ShareIDs returns the identifiers of the shares, in no order.
func (h *Holder) ShareIDs() []ShareID {
	ids := make([]ShareID, 0, len(h.buckets))
	for id := range h.buckets {
		ids = append(ids, id)
	}
	return ids
}

// Bucket returns the bucket of a share, or nil.
func (h *Holder) Bucket(id ShareID) *Bucket {
	if b := h.buckets[id]; b != nil {
		return b.Bucket
	}
	return nil
}

// Borrow answers a request. until is epoch.Lease.Until(now). The node itself
// borrows in the same way.
func (h *Holder) Borrow(req BorrowRequest, until, now time.Time) BorrowReply {
	b := h.buckets[req.ShareID]
	if b == nil || !now.Before(until) {
		return BorrowReply{ShareID: req.ShareID, Seq: req.Seq}
	}
	return b.Borrow(req, until, now)
}

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
}

type owned struct {
	*Bucket
	epoch uint64 // latest epoch under which the node is known to own the share
}

// NewHolder returns a holder without any share. The state and the tracker are
// those of the node.
func NewHolder(self epoch.Member, s *epoch.State, t *epoch.Tracker) *Holder {
	return &Holder{self: self, state: s, tracker: t, buckets: map[ShareID]*owned{}}
}

// Sync brings the buckets in line with the shares of all customers and the
// current epoch of the own zone. It drops buckets whose share ended or has or
// had another owner, changes rates and bursts in place, and starts buckets that
// the tracker allows. Call it after each change of the configuration or of the
// epoch, before the node answers any message that it received later, and twice
// a second while it reports true: then a share waits for the retirement of an
// earlier epoch.
//
// fresh tells whether a customer was created after this node became the owner
// of its slot: its first record lies after the end of the configuration stream
// as read since then. Only such a bucket starts full. In any other case a
// holder before may have started full, and the bucket starts empty. A nil fresh
// means none.
func (h *Holder) Sync(shares []Share, fresh func(customer string) bool, now time.Time) (waits bool) {
	current, ok := h.state.Current(h.self.Zone)
	if !ok || h.state.Lost(h.self.Zone) {
		clear(h.buckets)
		return true
	}
	keep := make(map[ShareID]bool, len(h.buckets))
	for _, s := range shares {
		owner := OwnerOf(s.ShareID)
		if s.Zone != h.self.Zone || !owner(current).Same(h.self) {
			continue
		}
		if h.start(s, owner, current.Number, fresh, now) {
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

func (h *Holder) start(s Share, owner epoch.Owner, number uint64, fresh func(string) bool, now time.Time) bool {
	b := h.buckets[s.ShareID]
	if b != nil && h.state.Continued(h.self, owner, b.epoch) {
		b.epoch = number
		b.Change(s, now)
		return true
	}
	if !h.tracker.MayUse(h.self, owner, now) {
		return false
	}
	full := b == nil && fresh != nil && fresh(s.Customer)
	h.buckets[s.ShareID] = &owned{Bucket: NewBucket(s, full, now), epoch: number}
	return true
}

// Shares returns the identifiers of the shares, in no order.
func (h *Holder) Shares() []ShareID {
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

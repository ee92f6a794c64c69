package zones

import (
	"context"
	"errors"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/member"
	"dogwoodsill.org/core/super"
)

// LongPollTimeout is the maximum time that a read of the stream waits for a new
// record.
const LongPollTimeout = 10 * time.Second

const (
	readBatchSize   = 500
	retryDelay      = time.Second
	roleInterval    = 250 * time.Millisecond // time between two checks whether this node reads
	proposeInterval = 250 * time.Millisecond
)

// Follow returns the background task that reads and applies the log stream "epochs"
// while shouldRead returns true. Otherwise the records come from peers, see ApplyUpdate.
func (z *Zones) Follow(shouldRead func() bool) func(context.Context) error {
	return func(ctx context.Context) error {
		return super.Repeat(ctx, retryDelay, z.onError, func(ctx context.Context) error {
			if !shouldRead() {
				super.Pause(ctx, roleInterval)
				return nil
			}
			return z.readOnce(ctx)
		})
	}
}

// readOnce reads one batch from the log and applies it.
func (z *Zones) readOnce(ctx context.Context) error {
	z.mu.Lock()
	next, wait := z.state.Next, LongPollTimeout
	if !z.hasRead {
		wait = 0 // a node that starts must know whether there are epochs
	}
	z.mu.Unlock()
	b, err := z.log.Read(ctx, logsvc.StreamEpochs, next, readBatchSize, wait)
	var expired *logsvc.ExpiredError
	switch {
	case err == nil:
		z.Fold(b, time.Now())
	case errors.As(err, &expired):
		return z.handleExpired(expired, next, time.Now())
	default:
		return err
	}
	return nil
}

// handleExpired continues after a read from an offset that the log doesn't have: at its
// first retained record, or from the beginning if its history went back. Otherwise the
// error stands, so that the next read waits.
func (z *Zones) handleExpired(e *logsvc.ExpiredError, from uint64, now time.Time) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.startEra(e.Era, now)
	z.state.SkipTo(e.First)
	if z.state.Next == from {
		return e
	}
	return nil
}

// Fold applies a batch of the log stream "epochs".
func (z *Zones) Fold(b logsvc.Batch, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.hasRead = true
	z.startEra(b.Era, now)
	if b.Era < z.state.Era || b.First > z.state.Next {
		return // read in an earlier era, or at an offset of one
	}
	z.fold(b.First, b.Records, b.End, now)
}

// fold applies records of the stream, which begin at the offset first and of which end is
// the end. The caller holds mu.
func (z *Zones) fold(first uint64, records [][]byte, end uint64, now time.Time) {
	for i, rec := range records {
		offset := first + uint64(i)
		if offset < z.state.Next {
			continue
		}
		if zone := z.state.Apply(offset, rec); zone != "" {
			z.adopt(zone, now)
		}
		z.recent.Add(offset, rec)
	}
	if z.state.Next >= end {
		z.state.ReachedEnd()
	}
	if len(records) > 0 && z.onNews != nil {
		z.onNews()
	}
}

// RenewLease is the background task that asks the other members of the zone to
// confirm the epoch.
func (z *Zones) RenewLease(ctx context.Context) error {
	return super.Every(ctx, epoch.ConfirmInterval, func(time.Time) { z.renewOnce(ctx) })
}

func (z *Zones) renewOnce(ctx context.Context) {
	z.mu.Lock()
	e := z.lease.Epoch()
	req := z.lease.Request()
	z.mu.Unlock()
	if !e.Has(z.self) {
		return
	}
	// A round doesn't wait for replies: an unreachable member must not delay the
	// requests to the others.
	for _, m := range e.Members {
		if !m.Same(z.self) {
			super.Go("confirmation", z.onError, func() { z.requestConfirmation(ctx, m, req) })
		}
	}
}

func (z *Zones) requestConfirmation(ctx context.Context, m epoch.Member, req epoch.ConfirmRequest) {
	ctx, cancel := context.WithTimeout(ctx, epoch.LeaseTime)
	defer cancel()
	sent := time.Now()
	reply, err := z.peers.Confirm(ctx, m.Address, req)
	if err != nil {
		return
	}
	reply.Member.Address, reply.Member.Zone = m.Address, m.Zone
	z.mu.Lock()
	defer z.mu.Unlock()
	z.lease.RecordConfirmation(reply, sent)
	z.tracker.Observe(reply.Member, reply.Adopted, time.Now())
	z.tracker.MergeRetired(reply.Zone, reply.RetiredThrough)
}

// Propose is the background task that appends new epochs and snapshots.
func (z *Zones) Propose(ctx context.Context) error {
	return super.Every(ctx, proposeInterval, func(time.Time) {
		entries, known := z.peers.Members(z.self.Zone), z.peers.Retired()
		// The time is read after the reports of the others: an observation dated
		// earlier than its report would retire an epoch while a lease under it
		// may still be valid.
		z.proposeOnce(ctx, entries, known, time.Now())
	})
}

func (z *Zones) proposeOnce(ctx context.Context, entries []member.Entry, known map[string]uint64, now time.Time) {
	rec, ok := z.dueRecord(entries, known, now)
	if n := z.retiredThrough(now); n > known[z.self.Zone] {
		z.peers.AnnounceRetired(z.self.Zone, n)
	}
	if !ok {
		return
	}
	data, err := epoch.Encode(rec)
	if err == nil {
		_, err = z.log.Append(ctx, logsvc.StreamEpochs, data)
	}
	if err != nil && ctx.Err() == nil {
		z.onError(err)
	}
}

// dueRecord returns the record that this node should append now.
func (z *Zones) dueRecord(entries []member.Entry, retired map[string]uint64, now time.Time) (epoch.Record, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.mergeGossip(entries, retired, now)
	if z.state.HasGap(z.self.Zone) || z.state.Rereading() || now.Sub(z.lastAppend) < epoch.TurnDuration {
		return epoch.Record{}, false
	}
	if e, ok := epoch.Propose(z.proposalView(now), now); ok {
		z.lastAppend = now
		return epoch.Record{Epoch: &e}, true
	}
	for _, zone := range z.state.Zones() {
		if snap, ok := z.snapshots.Due(zone, z.self, z.aliveMembers(), z.retention, now); ok {
			z.lastAppend = now
			return epoch.Record{Snapshot: &snap}, true
		}
	}
	return epoch.Record{}, false
}

// mergeGossip records what gossip knows about the members and the retired
// epochs. The caller holds mu.
func (z *Zones) mergeGossip(entries []member.Entry, retired map[string]uint64, now time.Time) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		m := epoch.Member{Name: e.Name, Incarnation: e.Incarnation, Address: e.Addr, Zone: e.Zone}
		present[e.Name] = true
		if old, ok := z.presences[e.Name]; !ok || !old.Same(m) || !old.Alive {
			z.presences[e.Name] = epoch.Presence{Member: m, Alive: true, Since: now}
		}
		z.tracker.Observe(m, e.Epoch, now)
	}
	for name, s := range z.presences {
		if s.Alive && !present[name] {
			z.presences[name] = epoch.Presence{Member: s.Member, Since: now}
		}
	}
	z.tracker.Observe(z.self, z.lease.Epoch().Number, now)
	for zone, through := range retired {
		z.tracker.MergeRetired(zone, through)
	}
}

// retiredThrough returns the number up to which the epochs of the local zone
// are retired.
func (z *Zones) retiredThrough(now time.Time) uint64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.tracker.Retired(z.self.Zone, now)
}

func (z *Zones) proposalView(now time.Time) epoch.View {
	v := epoch.View{
		Zone: z.self.Zone, Self: z.self, Started: z.started, Adopted: z.adopted,
		Era: z.state.Era, EraSince: z.eraSince,
		Unretired: z.tracker.Unretired(z.self.Zone, now), Retired: z.tracker.Retired(z.self.Zone, now),
	}
	v.Current, _ = z.state.Current(z.self.Zone)
	for _, s := range z.presences {
		v.Presences = append(v.Presences, s)
	}
	return v
}

func (z *Zones) aliveMembers() []epoch.Member {
	var out []epoch.Member
	for _, s := range z.presences {
		if s.Alive {
			out = append(out, s.Member)
		}
	}
	return out
}

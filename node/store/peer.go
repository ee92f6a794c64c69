package store

import (
	"time"

	"dogwoodsill.org/core/config"
)

// RecordsRequest requests configuration records from a peer.
type RecordsRequest struct {
	From uint64 `msgpack:"from"`
}

// RecordsReply holds the records from the requested offset on, or a snapshot if the
// peer no longer retains them.
type RecordsReply struct {
	First    uint64           `msgpack:"first"`
	Records  [][]byte         `msgpack:"records,omitempty"`
	Snapshot *config.Snapshot `msgpack:"snapshot,omitempty"`
	End      uint64           `msgpack:"end"`   // offset after the peer's last record
	AgeKnown bool             `msgpack:"known"` // the peer has once confirmed its configuration to be the newest
	AgeUS    int64            `msgpack:"ageUs"` // microseconds since that was last confirmed
	Empty    bool             `msgpack:"empty"` // the source had no configuration yet AgeUS ago

	Zones      *ZonesReply `msgpack:"zones"`      // evacuated zones; nil if not known
	ZonesAgeUS int64       `msgpack:"zonesAgeUs"` // microseconds since that was last known to be the newest state
}

// Records returns the reply to the request of a peer.
func (s *Store) Records(req RecordsRequest, now time.Time) RecordsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := RecordsReply{First: req.From, End: s.reader.Offset()}
	if z, known := s.tracker.State(); known {
		reply.Zones, reply.ZonesAgeUS = newZonesReply(z), now.Sub(s.tracker.AsOf()).Microseconds()
	}
	age, ok := s.reader.Age(now)
	reply.AgeKnown, reply.AgeUS = ok, age.Microseconds()
	if !ok && !s.emptyAsOf.IsZero() {
		reply.Empty, reply.AgeUS = true, now.Sub(s.emptyAsOf).Microseconds()
		return reply
	}
	records, ok := s.recent.From(req.From, reply.End)
	if ok {
		reply.Records = records
		return reply
	}
	snap := s.reader.Snapshot()
	reply.Snapshot = &snap
	return reply
}

// ApplyPeerReply applies the reply of a peer to a request that was sent at the
// given time. The peer may have held the request until it had news; that time is taken
// off. If acceptUnconfirmed is true, the configuration takes effect even if
// it was never confirmed to be the newest.
func (s *Store) ApplyPeerReply(r RecordsReply, acceptUnconfirmed bool, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Duration(r.AgeUS)*time.Microsecond + now.Sub(sent)
	s.mergeZones(r.Zones.state(), sent.Add(-time.Duration(r.ZonesAgeUS)*time.Microsecond))
	if r.Empty {
		s.recordEmpty(now.Add(-age))
		return
	}
	end := r.End
	if !r.AgeKnown {
		end = 0 // the peer doesn't know the end of the log
	}
	switch {
	case r.Snapshot != nil && r.AgeKnown:
		s.reader.ApplyPeerSnapshot(now, *r.Snapshot, age)
	case r.Snapshot == nil:
		s.reader.ApplyPeerBatch(now, config.Batch{First: r.First, End: end, Records: r.Records, Age: age})
		s.retainRecords(r)
	}
	s.logEnd = max(s.logEnd, end)
	s.publish(now, FromPeer, acceptUnconfirmed && s.reader.Offset() > 0)
}

// retainRecords retains the records of a reply that were applied.
func (s *Store) retainRecords(r RecordsReply) {
	for i, rec := range r.Records {
		if offset := r.First + uint64(i); offset < s.reader.Offset() {
			s.recent.Add(offset, rec)
		}
	}
}

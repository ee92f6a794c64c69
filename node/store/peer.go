package store

import (
	"time"

	"dogwoodsill.org/core/config"
)

// RecordsRequest asks a peer for configuration records.
type RecordsRequest struct {
	From uint64 `msgpack:"from"`
}

// RecordsReply holds records from the requested offset on, or a snapshot where
// the peer no longer has them.
type RecordsReply struct {
	First    uint64           `msgpack:"first"`
	Records  [][]byte         `msgpack:"records,omitempty"`
	Snapshot *config.Snapshot `msgpack:"snapshot,omitempty"`
	End      uint64           `msgpack:"end"`
	AgeKnown bool             `msgpack:"known"` // the peer was once at the end of the log
	AgeUS    int64            `msgpack:"ageUs"` // microseconds since then
}

// Records answers a peer.
func (s *Store) Records(req RecordsRequest, now time.Time) RecordsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := RecordsReply{First: req.From, End: s.reader.Offset()}
	age, ok := s.reader.Age(now)
	reply.AgeKnown, reply.AgeUS = ok, age.Microseconds()
	records, ok := s.recent.from(req.From, reply.End)
	if ok {
		reply.Records = records
		return reply
	}
	snap := s.reader.Snapshot()
	reply.Snapshot = &snap
	return reply
}

// ApplyPeerReply takes over the answer of a peer to a request that was sent at a time.
// With complete set, no newer configuration can be had and what there is comes
// in force.
func (s *Store) ApplyPeerReply(r RecordsReply, complete bool, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Duration(r.AgeUS)*time.Microsecond + now.Sub(sent)
	end := r.End
	if !r.AgeKnown {
		end = 0
	}
	switch {
	case r.Snapshot != nil && r.AgeKnown:
		s.reader.PeerSnapshot(now, *r.Snapshot, age)
	case r.Snapshot == nil:
		s.reader.Peer(now, config.Batch{First: r.First, End: end, Records: r.Records, Age: age})
		s.addRecent(r)
	}
	s.end = max(s.end, end)
	s.publish(now, FromPeer, complete && s.reader.Offset() > 0)
}

func (s *Store) addRecent(r RecordsReply) {
	for i, rec := range r.Records {
		if offset := r.First + uint64(i); offset < s.reader.Offset() {
			s.recent.add(offset, rec)
		}
	}
}

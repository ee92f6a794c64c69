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
	End      uint64           `msgpack:"end"`
	AgeKnown bool             `msgpack:"known"` // the peer has reached the end of the log before
	AgeUS    int64            `msgpack:"ageUs"` // microseconds since it last was at the end
}

// Records returns the reply to the request of a peer.
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

// ApplyPeerReply applies the reply of a peer to a request that was sent at the
// given time. If complete is true, no newer configuration can be obtained, so the
// state takes effect even if it was never confirmed to be the newest.
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
		s.retainRecords(r)
	}
	s.logEnd = max(s.logEnd, end)
	s.publish(now, FromPeer, complete && s.reader.Offset() > 0)
}

func (s *Store) retainRecords(r RecordsReply) {
	for i, rec := range r.Records {
		if offset := r.First + uint64(i); offset < s.reader.Offset() {
			s.recent.add(offset, rec)
		}
	}
}

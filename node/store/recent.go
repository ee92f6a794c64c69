package store

// maxRecentRecords is the number of records that are retained for peers. At 4,500
// changes a day it covers an hour and a half. A peer that lacks more records gets
// a snapshot.
const maxRecentRecords = 300

// recent holds the records that were applied last, for peers that don't read the
// log.
type recent struct {
	first   uint64
	records [][]byte
}

func newRecent() *recent {
	return &recent{}
}

// add appends a record. If records are missing before it, add drops all older
// ones.
func (r *recent) add(offset uint64, data []byte) {
	next := r.first + uint64(len(r.records))
	switch {
	case offset < next:
		return
	case offset > next || len(r.records) == 0:
		r.first, r.records = offset, nil
	}
	r.records = append(r.records, data)
	if drop := len(r.records) - maxRecentRecords; drop > 0 {
		r.first += uint64(drop)
		r.records = r.records[drop:]
	}
}

// from returns the records from offset up to but excluding end, or false if some
// are missing.
func (r *recent) from(offset, end uint64) ([][]byte, bool) {
	if offset >= end {
		return nil, true
	}
	if offset < r.first || end > r.first+uint64(len(r.records)) {
		return nil, false
	}
	return r.records[offset-r.first : end-r.first], true
}

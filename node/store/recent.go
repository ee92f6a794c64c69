package store

// recentRecords is the number of records that are kept for peers. It covers an
// hour and a half at 4,500 changes a day; a peer that lacks more gets a
// snapshot.
const recentRecords = 300

// recent holds the last records that were folded, for peers that don't read
// the log.
type recent struct {
	first   uint64
	records [][]byte
}

func newRecent() *recent {
	return &recent{}
}

// add appends a record. A gap before it drops what is older.
func (r *recent) add(offset uint64, data []byte) {
	next := r.first + uint64(len(r.records))
	switch {
	case offset < next:
		return
	case offset > next || len(r.records) == 0:
		r.first, r.records = offset, nil
	}
	r.records = append(r.records, data)
	if drop := len(r.records) - recentRecords; drop > 0 {
		r.first += uint64(drop)
		r.records = r.records[drop:]
	}
}

// from returns the records between two offsets, or false if some are missing.
func (r *recent) from(offset, end uint64) ([][]byte, bool) {
	if offset >= end {
		return nil, true
	}
	if offset < r.first || end > r.first+uint64(len(r.records)) {
		return nil, false
	}
	return r.records[offset-r.first : end-r.first], true
}

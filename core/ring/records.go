package ring

// Records retains the latest records of a stream, for peers that don't read it. It is
// not safe for concurrent use.
type Records struct {
	limit   int
	first   uint64
	records [][]byte
}

// NewRecords returns an empty Records that retains up to limit records.
func NewRecords(limit int) *Records {
	return &Records{limit: limit}
}

// Add appends the record at an offset. If records are missing before it, Add drops all
// older ones.
func (r *Records) Add(offset uint64, data []byte) {
	next := r.first + uint64(len(r.records))
	switch {
	case offset < next:
		return
	case offset > next || len(r.records) == 0:
		r.first, r.records = offset, nil
	}
	r.records = append(r.records, data)
	if drop := len(r.records) - r.limit; drop > 0 {
		r.first += uint64(drop)
		r.records = r.records[drop:]
	}
}

// From returns the records from offset up to but excluding end, or false if some are
// missing.
func (r *Records) From(offset, end uint64) ([][]byte, bool) {
	if offset >= end {
		return nil, true
	}
	if offset < r.first || end > r.first+uint64(len(r.records)) {
		return nil, false
	}
	return r.records[offset-r.first : end-r.first], true
}

package claim

import (
	"encoding/json"
	"fmt"
	"time"
)

// RecordState is the state of a key in a record.
type RecordState string

// States in records.
const (
	RecordDispatched RecordState = "dispatched"
	RecordDone       RecordState = "done"
)

// Limits of a batch.
const (
	// MaxBatchBytes bounds a batch. At the target size a node appends one batch
	// in 38.8 s, so it takes at most 2.3 of the 6 KB/s of its control traffic,
	// base64 of the log's wire format included.
	MaxBatchBytes = 64 << 10
	// MaxRecordResponse bounds the response in a record. A larger one is
	// recorded with its status only.
	MaxRecordResponse = 1 << 10
	batchVersion      = 1
)

// Record is the claim or the outcome of one key.
type Record struct {
	ID          ID          `json:"id"`
	State       RecordState `json:"state"`
	KeyMS       int64       `json:"keyMs"` // time of the key, milliseconds since 1970
	Fingerprint content     `json:"content"`
	Status      int         `json:"status,omitempty"`
	Response    *Response   `json:"response,omitempty"`
}

// Batch is one record of the stream claims. A batch that was appended twice
// after a lost response changes nothing in an Index.
type Batch struct {
	Version     int               `json:"version"`
	Instance    string            `json:"instance"` // node that dispatched the keys
	Incarnation uint64            `json:"incarnation"`
	Records     []json.RawMessage `json:"records"`
}

// RecordError says why a record of the stream can't be used.
type RecordError struct {
	Detail string
}

// Error implements error.
func (e *RecordError) Error() string {
	return "claim record: " + e.Detail
}

// DecodeBatch reads one record of the stream. Records within the batch that
// can't be used are left out and counted. It returns a *RecordError if the
// batch as a whole can't be read.
func DecodeBatch(data []byte) (records []Record, skipped int, err error) {
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, 0, &RecordError{Detail: err.Error()}
	}
	if b.Version != batchVersion {
		return nil, 0, &RecordError{Detail: fmt.Sprintf("version %d is not supported", b.Version)}
	}
	for _, raw := range b.Records {
		var r Record
		if json.Unmarshal(raw, &r) != nil || r.check() != nil {
			skipped++
			continue
		}
		records = append(records, r)
	}
	return records, skipped, nil
}

func (r *Record) check() error {
	switch {
	case r.ID == ID{}:
		return &RecordError{Detail: "identifier is missing"}
	case r.State != RecordDispatched && r.State != RecordDone:
		return &RecordError{Detail: "unknown state"}
	case r.Response != nil && (r.State != RecordDone || r.Response.bytes() > MaxRecordResponse):
		return &RecordError{Detail: "response is too large or doesn't belong to the state"}
	}
	return nil
}

// time returns the time of the key.
func (r *Record) time() time.Time {
	return time.UnixMilli(r.KeyMS)
}

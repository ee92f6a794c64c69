package claim

import (
	"encoding/json"
	"fmt"
	"time"
)

// RecordState is the state of a key in a Record.
type RecordState string

// States in records.
const (
	RecordDispatched RecordState = "dispatched" // the key was dispatched; its outcome is not known
	RecordDone       RecordState = "done"       // the response of the upstream is complete
)

// Limits of a batch.
const (
	// MaxBatchBytes bounds the records of a batch. At the target fleet size of
	// 9,700 nodes, a node appends one batch every 38.8 s. This takes at most
	// 2.3 of the 6 KB/s that are allowed for its control traffic, including the
	// base64 encoding of the log's wire format.
	MaxBatchBytes = 64 << 10
	// MaxRecordResponse bounds the size of the response in a record. A key with
	// a larger response is recorded with the status only.
	MaxRecordResponse = 1 << 10
	batchVersion      = 1
)

// Record is the claim or the outcome of one key, as it is stored in the log.
type Record struct {
	ID          ID                 `json:"id"`
	State       RecordState        `json:"state"`
	KeyMS       int64              `json:"keyMs"` // time of the key, milliseconds since 1970
	Fingerprint compactFingerprint `json:"content"`
	Status      int                `json:"status,omitempty"`
	Response    *Response          `json:"response,omitempty"`
}

// Batch is one entry of the log stream "claims". Applying a batch twice, as
// after a lost response to an append, doesn't change an Index further.
type Batch struct {
	Version     int               `json:"version"`
	Instance    string            `json:"instance"` // node that dispatched the keys
	Incarnation uint64            `json:"incarnation"`
	Records     []json.RawMessage `json:"records"`
}

// RecordError reports that a batch or a record from the log is invalid.
type RecordError struct {
	Detail string
}

// Error implements error.
func (e *RecordError) Error() string {
	return "claim record: " + e.Detail
}

// DecodeBatch decodes a batch. It skips invalid records and returns their
// number. It returns a *RecordError if the batch as a whole is invalid.
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
		if json.Unmarshal(raw, &r) != nil || r.validate() != nil {
			skipped++
			continue
		}
		records = append(records, r)
	}
	return records, skipped, nil
}

func (r *Record) validate() error {
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

// keyTime returns the time of the key.
func (r *Record) keyTime() time.Time {
	return time.UnixMilli(r.KeyMS)
}

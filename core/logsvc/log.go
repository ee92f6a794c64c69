package logsvc

import (
	"context"
	"fmt"
	"time"
)

// Names of the streams that the system uses.
const (
	StreamConfig = "config"
	StreamEpochs = "epochs"
	StreamClaims = "claims"
)

// Batch is a run of consecutive records.
type Batch struct {
	First   uint64   `json:"first"`   // offset of the first record of Records
	Next    uint64   `json:"next"`    // offset to continue from
	End     uint64   `json:"end"`     // offset after the last record of the stream at the time of the read
	Records [][]byte `json:"records"` // base64 on the wire
}

// Log reads and appends records.
type Log interface {
	// Append appends records in one atomic step and returns the offset of the
	// first. After an error the records may have been appended all the same.
	Append(ctx context.Context, stream string, records ...[]byte) (uint64, error)
	// Read returns up to n records from an offset. With none there yet it waits
	// for at most the given time and then returns an empty batch. It returns an
	// *ExpiredError if the offset lies before the retained records.
	Read(ctx context.Context, stream string, from uint64, n int, wait time.Duration) (Batch, error)
}

// ExpiredError says that records were asked for which the service no longer
// keeps.
type ExpiredError struct {
	Stream string
	From   uint64
	First  uint64 // first offset that is still kept
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("log stream %s: offset %d expired, first kept is %d", e.Stream, e.From, e.First)
}

// StatusError is an answer of the service that is not a success.
type StatusError struct {
	Stream string
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log stream %s: status %d: %s", e.Stream, e.Status, e.Detail)
}

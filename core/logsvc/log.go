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

// Batch holds consecutive records of a stream. Era is the number of the history that the
// records belong to. It grows when the service comes back from a copy that lacks records,
// whose offsets are then given out again. It is 0 if the service loses none.
type Batch struct {
	First   uint64   `json:"first"`   // offset of the first record in Records
	Next    uint64   `json:"next"`    // offset from which to continue reading
	End     uint64   `json:"end"`     // offset after the last record of the stream at the time of the read
	Records [][]byte `json:"records"` // base64 on the wire
	Era     uint64   `json:"era,omitempty"`
}

// Log reads and appends records.
type Log interface {
	// Append appends the records atomically and returns the offset of the first
	// one. After an error the records may still have been appended.
	Append(ctx context.Context, stream string, records ...[]byte) (uint64, error)
	// Read returns up to n records starting at an offset. If there are none yet,
	// it waits for them for at most the given time and then returns an empty
	// batch. It returns an *ExpiredError if the record at the offset has expired.
	Read(ctx context.Context, stream string, from uint64, n int, wait time.Duration) (Batch, error)
}

// ExpiredError reports a read from an offset whose record the service no longer
// retains, or from one after the end of the stream.
type ExpiredError struct {
	Stream string
	From   uint64
	First  uint64 // offset of the first retained record
	Era    uint64 // see Batch
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("log stream %s: offset %d expired, the first retained offset is %d", e.Stream, e.From, e.First)
}

// StatusError reports an unsuccessful or invalid response of the service.
type StatusError struct {
	Stream string
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log stream %s: status %d: %s", e.Stream, e.Status, e.Detail)
}

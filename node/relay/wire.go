package relay

import (
	"bytes"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
)

// Kinds of streams between nodes.
const (
	KindCall uint8 = iota + 1
	KindClaim
	KindBorrow
	KindGossip
	KindProbe
	KindRecords
	KindConfirm
)

// CallHead opens a call stream.
type CallHead struct {
	Attempt       string      `msgpack:"attempt"`     // unique for each attempt
	Incarnation   uint64      `msgpack:"incarnation"` // of the target's node that must run the attempt; 0 for any
	Resume        bool        `msgpack:"resume"`      // the attempt may already run there
	Call          model.Call  `msgpack:"call"`
	Remaining     int64       `msgpack:"remaining"` // microseconds until the deadline
	Service       string      `msgpack:"service"`
	Route         string      `msgpack:"route"`
	Method        string      `msgpack:"method"`
	URI           string      `msgpack:"uri"`
	Host          string      `msgpack:"host,omitempty"` // as the caller named it; empty for the upstream's address
	Header        http.Header `msgpack:"header"`
	ContentLength int64       `msgpack:"contentLength"`       // -1 if unknown
	RequestID     string      `msgpack:"requestId,omitempty"` // the caller's own identifier of the request
	Key           string      `msgpack:"key,omitempty"`       // idempotency key, on claim streams only
	Repeatable    bool        `msgpack:"repeatable"`          // may be sent again, on claim streams only
	ConfigOffset  uint64      `msgpack:"config"`              // configuration under which the call was admitted
}

// ReplyHead is the head of the answer to a call. With Refusal set there is no
// answer of an upstream.
type ReplyHead struct {
	Refusal       *refuse.Error `msgpack:"refusal,omitempty"`
	Status        int           `msgpack:"status"`
	Header        http.Header   `msgpack:"header"`
	ContentLength int64         `msgpack:"contentLength"` // -1 if unknown
	Feedback      Feedback      `msgpack:"feedback"`
	AttemptsLeft  int           `msgpack:"attemptsLeft"` // unused attempts of a refused call
	ChildFailed   bool          `msgpack:"childFailed"`  // a call that the upstream made for this one failed
	Reached       bool          `msgpack:"reached"`      // a refused call was sent to the upstream
}

// ReplyTrailer follows the body of an answer.
type ReplyTrailer struct {
	Complete     bool        `msgpack:"complete"` // the upstream's answer ended cleanly
	Trailer      http.Header `msgpack:"trailer,omitempty"`
	AttemptsLeft int         `msgpack:"attemptsLeft"`
	Feedback     Feedback    `msgpack:"feedback"`
}

// Feedback tells the calling side about the load of a target.
type Feedback struct {
	admit.Feedback
	Draining bool `msgpack:"draining"`
}

// deadline converts the remaining time of the head to a local deadline.
func (h *CallHead) deadline(now time.Time) time.Time {
	return now.Add(time.Duration(h.Remaining) * time.Microsecond)
}

// pack encodes structs as arrays. The names of fields would be a third of the
// bytes of a call with a short answer. So new fields go to the end of a type.
func pack(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return buf.Bytes(), err
}

func unpack[T any](data []byte) (T, error) {
	var v T
	err := msgpack.Unmarshal(data, &v)
	return v, err
}

package relay

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/crash"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/strict"
)

// Kinds of streams between nodes. The kind tells the receiver how to handle a
// stream.
const (
	KindCall     uint8 = iota + 1 // call to a target
	KindClaim                     // call with an idempotency key, sent to the owner of the key
	KindBorrow                    // request to borrow rate tokens
	KindGossip                    // gossip packet
	KindProbe                     // request to probe a third node
	KindRecords                   // request for configuration records
	KindConfirm                   // request to confirm an epoch
	KindCapacity                  // request for the capacity of a share
	KindFollow                    // request for news of the log streams
	KindCrashes                   // exchange of the records of requests that end upstream processes
)

// CallHead is the head of a call stream or a claim stream.
type CallHead struct {
	Attempt       string             `msgpack:"attempt"`     // unique for each attempt
	Incarnation   uint64             `msgpack:"incarnation"` // of the node process that must run the attempt; 0 for any
	Resume        bool               `msgpack:"resume"`      // the attempt may already be running there
	Call          model.Call         `msgpack:"call"`
	Remaining     int64              `msgpack:"remaining"` // microseconds until the deadline
	Service       string             `msgpack:"service"`
	Route         string             `msgpack:"route"`
	Method        string             `msgpack:"method"`
	URI           string             `msgpack:"uri"`
	Host          string             `msgpack:"host,omitempty"` // as in the caller's request; empty for the upstream's address
	Header        http.Header        `msgpack:"header"`
	ContentLength int64              `msgpack:"contentLength"`       // -1 if unknown
	RequestID     string             `msgpack:"requestId,omitempty"` // identifier that the caller chose
	Key           string             `msgpack:"key,omitempty"`       // idempotency key, on claim streams only
	Repeatable    bool               `msgpack:"repeatable"`          // may be sent again
	ConfigOffset  uint64             `msgpack:"config"`              // offset of the configuration under which the call was admitted
	Statement     *Statement         `msgpack:"statement"`           // what the sender knows from the upstream at the target; nil for nothing
	Fingerprint   *crash.Fingerprint `msgpack:"fingerprint"`         // set if a request with this head ended a process of an upstream
}

// ReplyHead is the head of the reply to a call, which holds either the response of
// the upstream or, if Refusal is set, a refusal.
type ReplyHead struct {
	Refusal       *refuse.Error  `msgpack:"refusal,omitempty"`
	Status        int            `msgpack:"status"`
	Header        http.Header    `msgpack:"header"`
	ContentLength int64          `msgpack:"contentLength"` // -1 if unknown
	Feedback      Feedback       `msgpack:"feedback"`
	AttemptsLeft  int            `msgpack:"attemptsLeft"` // unused attempts of a refused call
	ChildFailed   bool           `msgpack:"childFailed"`  // a call that the upstream made for this one failed
	Reached       bool           `msgpack:"reached"`      // the call may have been sent to the upstream before it was refused
	Statement     *Statement     `msgpack:"statement"`    // of the upstream; nil for none
	Crashes       []crash.Record `msgpack:"crashes"`      // if set, the caller must send the fingerprint of the request
}

// check returns a *strict.MalformedError if the reply holds a response that an upstream can't have
// sent. The node that sent it may run an earlier version, which passes on more.
func (h *ReplyHead) check() error {
	if h.Refusal != nil {
		return nil
	}
	if !isFinalStatus(h.Status) {
		return &strict.MalformedError{Detail: fmt.Sprintf("the status is %d", h.Status)}
	}
	return strict.CheckNames(h.Header)
}

// ReplyTrailer follows the body of a reply that holds a response.
type ReplyTrailer struct {
	Complete     bool        `msgpack:"complete"` // the upstream's response is complete
	Trailer      http.Header `msgpack:"trailer,omitempty"`
	AttemptsLeft int         `msgpack:"attemptsLeft"`
	Feedback     Feedback    `msgpack:"feedback"`
}

// Feedback reports the load of a target to the calling side.
type Feedback struct {
	admit.Feedback
	Draining bool  `msgpack:"draining"`
	Cold     bool  `msgpack:"cold"`   // the upstream is cold or may be, and its calls are limited
	FullUS   int64 `msgpack:"fullUs"` // microseconds until a cold upstream takes another call
}

// deadline returns the deadline on the local clock: Remaining after now.
func (h *CallHead) deadline(now time.Time) time.Time {
	return now.Add(time.Duration(h.Remaining) * time.Microsecond)
}

// pack encodes a value as MessagePack, with structs as arrays. Field names would
// make up a third of the bytes of a call with a short response. Since fields are
// identified by position, new ones must be added at the end of a struct.
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
	err := frame.Decode(data, &v)
	return v, err
}

package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
)

func TestPackRoundTrip(t *testing.T) {
	head := CallHead{
		Attempt: newAttemptID(), Incarnation: 7, Resume: true, Remaining: 5000, Service: "s", Route: "r", Method: "GET", URI: "/a",
		Host: "h", Header: http.Header{"A": {"b", "c"}}, ContentLength: -1, RequestID: "q", Key: "k", Repeatable: true,
		Call: model.Call{Root: "root", Customer: "c", KeyID: "id", Rank: 1 << 30, Weight: 1.5, Attempts: 2, Depth: 1, Origin: "o", Goal: time.Second},
	}
	data, err := pack(head)
	assert.NilError(t, err)
	got, err := unpack[CallHead](data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, head)

	reply := ReplyHead{Refusal: refuse.New(refuse.Overloaded, "full").WithRetryAfter(time.Second), Feedback: Feedback{Feedback: admit.Feedback{Level: 3, Demand: 2}, Draining: true}, Reached: true}
	data, err = pack(reply)
	assert.NilError(t, err)
	decoded, err := unpack[ReplyHead](data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, reply)
}

// TestPackSize guards against an encoding that makes the head of an ordinary call
// larger than 100 bytes.
func TestPackSize(t *testing.T) {
	data, err := pack(CallHead{Attempt: newAttemptID(), Service: "service", Route: "route", Method: "GET", URI: "/path", ContentLength: 0})
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 100, "%d bytes", len(data))
}

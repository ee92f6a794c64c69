package refuse

import (
	"encoding/json"
	"net/http/httptest"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusalHasLength guards against a refusal that is complete for the caller only after the
// node has read the rest of the request.
func TestRefusalHasLength(t *testing.T) {
	w := httptest.NewRecorder()
	e := New(Overloaded, "the target is overloaded")
	assert.NilError(t, e.Write(w))
	assert.Equal(t, w.Header().Get("Content-Length"), strconv.Itoa(w.Body.Len()))
	var p Problem
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
	assert.Equal(t, p, e.Problem())
}

// TestStatusOfUnsentRequest guards against a request that reached no upstream and whose status
// says that it may have been executed.
func TestStatusOfUnsentRequest(t *testing.T) {
	for _, test := range []struct {
		reason   Reason
		executed Executed
		status   int
	}{
		{UpstreamFailed, NotExecuted, 503},
		{UpstreamFailed, ExecutionUnknown, 502},
		{DeadlineExceeded, NotExecuted, 503},
		{DeadlineExceeded, ExecutionUnknown, 504},
	} {
		assert.Equal(t, New(test.reason, "").WithExecuted(test.executed).Status(), test.status)
	}
}

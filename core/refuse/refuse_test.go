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

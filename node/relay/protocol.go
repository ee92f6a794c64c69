package relay

import (
	"net/http"
	"strconv"
	"time"

	"dogwoodsill.org/core/chain"
)

// ResponseClass says what an answer of an upstream is worth.
type ResponseClass int

// Verdicts on an answer.
const (
	ResponseValid         ResponseClass = iota // the answer to the request
	ResponseNotExecuted                        // the upstream says that it didn't run the request
	ResponseWrongUpstream                      // another upstream has the address and didn't run the request
	ResponseMismatched                         // the answer belongs to another request
)

// Protocol is how nodes and upstreams speak about a call. Implementations are
// safe for concurrent use.
type Protocol interface {
	// SetHeaders sets the headers of a request to an upstream.
	SetHeaders(h http.Header, call *CallHead, up Upstream, token string, left time.Duration)
	// ClassifyResponse classifies the answer to a call by its head.
	ClassifyResponse(call *CallHead, resp *http.Response) ResponseClass
}

// ownProtocol is the project's own: the upstream copies the token of a call to
// the calls that it makes.
type ownProtocol struct{}

// SetHeaders implements Protocol.
func (ownProtocol) SetHeaders(h http.Header, _ *CallHead, _ Upstream, token string, left time.Duration) {
	h.Set(chain.CallHeader, token)
	h.Set(chain.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
}

// ClassifyResponse implements Protocol.
func (ownProtocol) ClassifyResponse(*CallHead, *http.Response) ResponseClass {
	return ResponseValid
}

package relay

import (
	"net/http"
	"strconv"
	"time"

	"dogwoodsill.org/core/chain"
)

// ResponseClass tells whether a response of an upstream is the one to the request.
type ResponseClass int

// Classes of responses.
const (
	ResponseValid         ResponseClass = iota // the response to the request
	ResponseNotExecuted                        // the upstream states that it did not execute the request
	ResponseWrongUpstream                      // the address belongs to another upstream now, which did not execute the request
	ResponseMismatched                         // the response belongs to another request
)

// Protocol defines the headers that a node and its upstream exchange about a
// call. Implementations must be safe for concurrent use.
type Protocol interface {
	// SetHeaders sets the headers of a request to an upstream.
	SetHeaders(h http.Header, call *CallHead, up Upstream, token string, left time.Duration)
	// ClassifyResponse classifies the response to a call by its status and header.
	ClassifyResponse(call *CallHead, resp *http.Response) ResponseClass
}

// defaultProtocol sets the token and the remaining time of a call. The upstream
// copies the token to the calls that it makes.
type defaultProtocol struct{}

// SetHeaders implements Protocol.
func (defaultProtocol) SetHeaders(h http.Header, _ *CallHead, _ Upstream, token string, left time.Duration) {
	h.Set(chain.CallHeader, token)
	h.Set(chain.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
}

// ClassifyResponse implements Protocol.
func (defaultProtocol) ClassifyResponse(*CallHead, *http.Response) ResponseClass {
	return ResponseValid
}

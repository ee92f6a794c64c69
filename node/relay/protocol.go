package relay

import (
	"net/http"
	"strconv"
	"time"

	"dogwoodsill.org/core/chain"
)

// Verdict says what an answer of an upstream is worth.
type Verdict int

// Verdicts on an answer.
const (
	Genuine Verdict = iota // the answer to the request
	NotRun                 // the upstream says that it didn't run the request
	Moved                  // another upstream has the address and didn't run the request
	Foreign                // the answer belongs to another request
)

// Protocol is how nodes and upstreams speak about a call. Implementations are
// safe for concurrent use.
type Protocol interface {
	// Prepare sets the headers of a request to an upstream.
	Prepare(h http.Header, call *CallHead, up Upstream, token string, left time.Duration)
	// Inspect classifies the answer to a call by its head.
	Inspect(call *CallHead, resp *http.Response) Verdict
}

// ownProtocol is the project's own: the upstream copies the token of a call to
// the calls that it makes.
type ownProtocol struct{}

// Prepare implements Protocol.
func (ownProtocol) Prepare(h http.Header, _ *CallHead, _ Upstream, token string, left time.Duration) {
	h.Set(chain.CallHeader, token)
	h.Set(chain.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
}

// Inspect implements Protocol.
func (ownProtocol) Inspect(*CallHead, *http.Response) Verdict {
	return Genuine
}

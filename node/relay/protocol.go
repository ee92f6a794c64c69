package relay

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/speed"
)

// ResponseClass tells whether a response of an upstream belongs to the request and
// whether the request was executed.
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
	// SetRemaining sets the header with the time that is left again, in the headers that
	// SetHeaders has set.
	SetRemaining(h http.Header, left time.Duration)
	// ClassifyResponse classifies the response to a call by its status and header.
	ClassifyResponse(call *CallHead, resp *http.Response) ResponseClass
	// ResponseID returns the identifier of the request that a response states, or an empty
	// string if it states none. Refusals with the same identifier on one connection can't
	// be told apart.
	ResponseID(resp *http.Response) string
	// ReadStatement returns what the upstream states in a response, without the process.
	// It reports false if that can't be read, so that the response says nothing.
	ReadStatement(resp *http.Response) (Statement, bool)
	// ReadLoad returns what the upstream reports about its load in a response. It reports
	// false if there is no report or it can't be read.
	ReadLoad(resp *http.Response) (LoadReport, bool)
}

// LoadReport is what an upstream reports about its load.
type LoadReport = speed.LoadReport

// Headers in which an upstream states something about itself.
const (
	// RateLimitHeader holds the requests per second that the upstream accepts from all
	// nodes together, as a decimal number, for as long as its responses carry the header.
	RateLimitHeader = "Dogwoodsill-Rate-Limit"
	// LeavingHeader is "1" in the responses of an upstream that accepts no new requests.
	LeavingHeader = "Dogwoodsill-Leaving"
)

// ParseStatement returns the statement that the given headers of a response make. A rate
// that is not a number of at least 0 says nothing; without another statement ParseStatement
// then reports false.
func ParseStatement(h http.Header, rateHeader, leavingHeader string) (Statement, bool) {
	s := Statement{Leaving: h.Get(leavingHeader) == "1"}
	text := h.Get(rateHeader)
	if text == "" {
		return s, true
	}
	perSec, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(perSec) || math.IsInf(perSec, 0) || perSec < 0 {
		return s, s.Leaving
	}
	s.Limited, s.PerSec = true, perSec
	return s, true
}

// defaultProtocol sets the token and the remaining time of a call. The upstream
// copies the token to the calls that it makes.
type defaultProtocol struct{}

// SetHeaders implements Protocol.
func (p defaultProtocol) SetHeaders(h http.Header, _ *CallHead, _ Upstream, token string, left time.Duration) {
	h.Set(chain.CallHeader, token)
	p.SetRemaining(h, left)
}

// SetRemaining implements Protocol.
func (defaultProtocol) SetRemaining(h http.Header, left time.Duration) {
	h.Set(chain.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
}

// ClassifyResponse implements Protocol.
func (defaultProtocol) ClassifyResponse(*CallHead, *http.Response) ResponseClass {
	return ResponseValid
}

// ResponseID implements Protocol.
func (defaultProtocol) ResponseID(*http.Response) string { return "" }

// ReadStatement implements Protocol.
func (defaultProtocol) ReadStatement(resp *http.Response) (Statement, bool) {
	return ParseStatement(resp.Header, RateLimitHeader, LeavingHeader)
}

// ReadLoad implements Protocol. The default protocol has no report.
func (defaultProtocol) ReadLoad(*http.Response) (LoadReport, bool) { return LoadReport{}, false }

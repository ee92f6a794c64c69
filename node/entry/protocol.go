package entry

import (
	"net/http"
	"strconv"
	"time"

	"dogwoodsill.org/core/refuse"
)

// Protocol is how callers and the node speak about a request. Implementations
// are safe for concurrent use.
type Protocol interface {
	// Timeout returns how long the caller waits, or 0 if it doesn't say.
	Timeout(h http.Header) (time.Duration, *refuse.Error)
	// RequestID returns the caller's identifier of the request, or the empty string.
	RequestID(h http.Header) string
	// ParentID returns the identifier of the request for which an upstream makes
	// this one, or the empty string. It is trusted only if such a request runs.
	ParentID(h http.Header) string
	// WriteRefusal answers a request that the node refused.
	WriteRefusal(w http.ResponseWriter, r *http.Request, e *refuse.Error) error
}

// ownProtocol is the project's own interface.
type ownProtocol struct{}

// Timeout implements Protocol.
func (ownProtocol) Timeout(h http.Header) (time.Duration, *refuse.Error) {
	text := h.Get(TimeoutHeader)
	if text == "" {
		return 0, nil
	}
	sec, err := strconv.ParseFloat(text, 64)
	if err != nil || !(sec > 0) {
		return 0, refuse.New(refuse.BadRequest, "%s must be a number of seconds above 0", TimeoutHeader)
	}
	return time.Duration(min(sec, maxTimeout.Seconds()) * float64(time.Second)), nil
}

// RequestID implements Protocol.
func (ownProtocol) RequestID(http.Header) string {
	return ""
}

// ParentID implements Protocol.
func (ownProtocol) ParentID(http.Header) string {
	return ""
}

// WriteRefusal implements Protocol.
func (ownProtocol) WriteRefusal(w http.ResponseWriter, _ *http.Request, e *refuse.Error) error {
	return e.Write(w)
}

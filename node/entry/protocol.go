package entry

import (
	"net/http"
	"strconv"
	"time"

	"dogwoodsill.org/core/keys"
	"dogwoodsill.org/core/refuse"
)

// Protocol reads the headers by which callers control a request, and writes
// refusals. Implementations are safe for concurrent use.
type Protocol interface {
	// Credential returns the API key of a request and the header that carries it. All other
	// headers belong to the caller and are passed on.
	Credential(h http.Header) keys.Credential
	// Timeout returns how long the caller waits for the response, or 0 if the
	// header doesn't say.
	Timeout(h http.Header) (time.Duration, *refuse.Error)
	// RequestID returns the caller's identifier of the request, or the empty
	// string.
	RequestID(h http.Header) string
	// ParentID returns the identifier of the request on whose behalf an
	// upstream makes this one, or the empty string. It is trusted only if that
	// request is in progress.
	ParentID(h http.Header) string
	// WriteRefusal writes the response to a refused request.
	WriteRefusal(w http.ResponseWriter, r *http.Request, e *refuse.Error) error
}

// defaultProtocol is the Protocol of servers without WithProtocol. It reads
// TimeoutHeader and writes refusals as problem documents.
type defaultProtocol struct{}

// Credential implements Protocol.
func (defaultProtocol) Credential(h http.Header) keys.Credential {
	return keys.FromHeader(h)
}

// Timeout implements Protocol.
func (defaultProtocol) Timeout(h http.Header) (time.Duration, *refuse.Error) {
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
func (defaultProtocol) RequestID(http.Header) string {
	return ""
}

// ParentID implements Protocol.
func (defaultProtocol) ParentID(http.Header) string {
	return ""
}

// WriteRefusal implements Protocol.
func (defaultProtocol) WriteRefusal(w http.ResponseWriter, _ *http.Request, e *refuse.Error) error {
	return e.Write(w)
}

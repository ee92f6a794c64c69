package fakes

import (
	"io"
	"net/http"
	"strconv"

	"dogwoodsill.org/core/chain"
)

// Behaviour is the query parameter by which a test asks the upstream for a
// special answer.
const Behaviour = "fake"

// Special answers of an upstream.
const (
	Truncate = "truncate" // drops the connection within the body, of known length unless "chunked" is given
	Large    = "large"    // sends as many bytes as the parameter "bytes" says
	Hang     = "hang"     // answers only when the request is cancelled
	Token    = "token"    // answers with its call token
	Reject   = "reject"   // drops the connection without an answer
)

// behave gives a special answer and reports whether the request asked for one.
func (u *Upstream) behave(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Query().Get(Behaviour) {
	case Truncate:
		if !r.URL.Query().Has("chunked") {
			w.Header().Set("Content-Length", "100000")
		}
		_, _ = io.WriteString(w, "the first bytes")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case Large:
		n, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
		_, _ = io.CopyN(w, zeros{}, n)
	case Hang:
		<-r.Context().Done()
		u.cancelled.Add(1)
	case Token:
		_, _ = io.WriteString(w, r.Header.Get(chain.CallHeader))
	case Reject:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// Cancelled returns the number of running requests that were cancelled.
func (u *Upstream) Cancelled() int64 {
	return u.cancelled.Load()
}

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

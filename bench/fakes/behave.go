package fakes

import (
	"io"
	"net/http"
	"strconv"

	"dogwoodsill.org/core/chain"
)

// Behaviour is the query parameter by which a test requests a special response
// from an upstream.
const Behaviour = "fake"

// Special responses of an upstream, as values of the query parameter Behaviour.
const (
	Truncate = "truncate" // drops the connection within the body, whose length is known unless the parameter "chunked" is given
	Large    = "large"    // sends the number of bytes given by the parameter "bytes"
	Hang     = "hang"     // returns only when the request is cancelled
	Token    = "token"    // responds with the call token of the request
	Reject   = "reject"   // drops the connection without a response
)

// serveSpecial sends a special response if the request asks for one and reports
// whether it did.
func (u *Upstream) serveSpecial(w http.ResponseWriter, r *http.Request) bool {
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

// Cancelled returns the number of requests that were cancelled during their service
// time or during the special response Hang.
func (u *Upstream) Cancelled() int64 {
	return u.cancelled.Load()
}

// zeros is an endless stream of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

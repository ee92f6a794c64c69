package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"dogwoodsill.org/node/relay"
)

// lingerTimeout is how long the rest of a body is read and discarded after the response.
// Closing the connection while the caller sends would reset it, and the caller could lose
// the response (RFC 9112, section 9.6).
const lingerTimeout = 500 * time.Millisecond

var errBodyReleased = errors.New("the body of the request is not needed any more")

// callerBody is the body of a request. Reading fails when the body stalls, is too large, or
// is incomplete at the end of the grace period after the revocation of its API key. Only
// callerBody changes the read deadline of the connection, and only until it is released, so
// that no later request is affected.
type callerBody struct {
	r       io.Reader
	req     *activeRequest
	memory  *requestMemory
	rc      *http.ResponseController
	timeout time.Duration

	mu       sync.Mutex
	left     int64         // number of bytes that are missing; negative if the length is unknown
	complete bool          // the body was read to its end
	reading  chan struct{} // closed when the read in progress returns; nil if there is none
	released bool
	stopped  bool // interrupt was called
}

// newBody returns the body of a request.
func (s *Server) newBody(ctx context.Context, w http.ResponseWriter, r *http.Request, m *requestMemory) *callerBody {
	req, _ := ctx.Value(activeRequestKey{}).(*activeRequest)
	b := &callerBody{req: req, memory: m, rc: http.NewResponseController(w), timeout: s.limits.ProgressTimeout.D(), left: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.complete = true
		req.markBodyComplete()
		m.pin()
		b.r = http.NoBody
		return b
	}
	body := r.Body
	if limit := s.bodyLimit(); limit > 0 {
		body = http.MaxBytesReader(w, body, limit)
	}
	b.r = body
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if err := b.beginRead(time.Now()); err != nil {
		return 0, err
	}
	n, err := b.r.Read(p)
	b.endRead(n, err)
	return n, err
}

func (b *callerBody) beginRead(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.released || b.stopped:
		return errBodyReleased
	case !b.complete:
		_ = b.rc.SetReadDeadline(now.Add(b.timeout))
	}
	b.reading = make(chan struct{})
	return nil
}

func (b *callerBody) endRead(n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.reading)
	b.reading = nil
	b.left -= int64(n)
	if errors.Is(err, io.EOF) || b.left == 0 {
		b.complete = true
		b.req.markBodyComplete()
		b.memory.pin()
	}
	if !b.released {
		_ = b.rc.SetReadDeadline(time.Time{})
	}
}

// interrupt ends the read in progress and all later ones.
func (b *callerBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.reading != nil && !b.released {
		_ = b.rc.SetReadDeadline(time.Unix(1, 0))
	}
}

// isComplete reports whether the body was read to its end.
func (b *callerBody) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// release ends the use of the body. It returns a channel that is closed when the read in
// progress returns, nil if there is none. If linger is set, reads of the connection may take
// until lingerTimeout has passed.
func (b *callerBody) release(linger bool, now time.Time) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	if linger {
		_ = b.rc.SetReadDeadline(now.Add(lingerTimeout))
	}
	return b.reading
}

// announceClose announces that the connection is closed after the response if the server
// is about to stop or the body of the request was not read to its end.
func (q *request) announceClose() {
	q.server.AnnounceClose(q.w.Header())
	if q.r.ProtoMajor > 1 {
		return // the streams of a connection end independently
	}
	if q.body == nil && q.r.ContentLength < 0 || q.body != nil && !q.body.isComplete() {
		// net/http then sends the response without reading the rest of the body first.
		q.w.Header().Set("Connection", "close")
	}
	if q.body == nil && q.r.ContentLength != 0 {
		q.boundDiscard(time.Now())
	}
}

// boundDiscard bounds the time in which net/http reads and discards the body of a request
// that was refused before its body was needed.
func (q *request) boundDiscard(now time.Time) {
	if err := BoundDiscard(q.w, now); err != nil {
		q.server.log.Debug("the time to read the rest of a body is not limited", "error", err)
	}
}

// BoundDiscard bounds the time in which net/http reads and discards a body of which nothing
// was read before the response. net/http lifts the deadline before the next request.
func BoundDiscard(w http.ResponseWriter, now time.Time) error {
	return http.NewResponseController(w).SetReadDeadline(now.Add(lingerTimeout))
}

// endBody ends the use of the body after the response. If the body was not read to its end,
// the response is sent before net/http discards the rest.
func (q *request) endBody() {
	if q.body == nil {
		return
	}
	if q.r.ProtoMajor > 1 || q.body.isComplete() {
		q.body.release(false, time.Now())
		return
	}
	if err := q.body.rc.Flush(); err != nil {
		q.logAborted(abortedByCaller, err)
	}
	if reading := q.body.release(true, time.Now()); reading != nil {
		<-reading
	}
}

// progressWriter writes a response to a caller that must read a part of it within each timeout. A
// caller that doesn't would otherwise keep the memory of its request for as long as it likes.
type progressWriter struct {
	http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
}

// Write implements io.Writer.
func (p *progressWriter) Write(b []byte) (int, error) {
	_ = p.rc.SetWriteDeadline(time.Now().Add(p.timeout))
	return p.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (p *progressWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// writeResponse writes a response. The write deadline must not apply to the next request of the
// connection.
func (q *request) writeResponse(resp *relay.Response) error {
	w := &progressWriter{ResponseWriter: q.w, rc: http.NewResponseController(q.w), timeout: q.server.limits.ProgressTimeout.D()}
	if err := WriteResponse(w, resp); err != nil {
		return err
	}
	_ = w.rc.SetWriteDeadline(time.Time{})
	return nil
}

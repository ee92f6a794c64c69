package claims

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
)

// run dispatches the request of a claimed key. The request is not cancelled
// when its caller disconnects, because a repeated request with the key must get
// the outcome.
func (c *Coordinator) run(ctx context.Context, key claim.Key, req *relay.Request, ticket *claim.Ticket) (*relay.Response, int, *refuse.Error) {
	if !c.drainer.Enter() {
		return nil, req.Call.Attempts, ticket.Release(ticket.Attempts, refuse.New(refuse.NotReady, "the owner of the key is shutting down"))
	}
	outbound := *req
	outbound.Call.Root, outbound.Call.Attempts = ticket.Root, ticket.Attempts
	outbound.Repeatable = false
	outbound.BeforeAttempt = func(now time.Time) *refuse.Error { return ticket.Dispatch(now, c.ownership(key, now)) }
	outbound.OnNotExecuted = ticket.UndoDispatch
	resp, left, e := c.sender.Do(context.WithoutCancel(ctx), &outbound)
	if e != nil {
		defer c.drainer.Leave()
		if e.Executed == refuse.NotExecuted {
			return nil, left, ticket.Release(left, e)
		}
		return nil, left, ticket.FinishUnknown(e)
	}
	rec := &recorder{coordinator: c, ticket: ticket, resp: resp, body: resp.Body}
	out := *resp
	out.Body = rec
	return &out, 0, nil
}

// recorder is the body of a response that copies what is read, so that the
// response can be stored with its key. If it is closed early, it reads the rest
// in the background.
type recorder struct {
	coordinator *Coordinator
	ticket      *claim.Ticket
	resp        *relay.Response
	body        io.ReadCloser
	buffered    bytes.Buffer
	size        int // bytes of the response so far
	ended       bool
}

// Read implements io.Reader.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.size += n; r.size <= claim.DefaultMaxResponseBytes {
		r.buffered.Write(p[:n])
	} else {
		r.buffered = bytes.Buffer{} // a larger response is not stored
	}
	if err != nil {
		r.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (r *recorder) Close() error {
	if r.ended {
		return r.body.Close()
	}
	super.Go("rest of a response", r.coordinator.onErr, func() {
		_, _ = io.Copy(io.Discard, r)
		_ = r.body.Close()
	})
	return nil
}

func (r *recorder) end(err error) {
	if r.ended {
		return
	}
	r.ended = true
	defer r.coordinator.drainer.Leave()
	if !errors.Is(err, io.EOF) {
		r.ticket.FinishUnknown(refuse.New(refuse.OutcomeUnknown, "the answer of the upstream is incomplete"))
		return
	}
	if r.size > claim.DefaultMaxResponseBytes {
		r.ticket.FinishStatus(time.Now(), r.resp.Status)
		return
	}
	r.ticket.Finish(time.Now(), &claim.Response{Status: r.resp.Status, Header: r.resp.Header, Body: r.buffered.Bytes()})
}

// ReplayHeader is the header that marks a replayed response.
const ReplayHeader = "Idempotency-Replayed"

// replayResponse returns the stored response of a key for a repeated request,
// which has used none of its attempts.
func replayResponse(r *claim.Response, attempts int) *relay.Response {
	h := make(map[string][]string, len(r.Header)+1)
	for name, values := range r.Header {
		h[name] = values
	}
	h[ReplayHeader] = []string{"true"}
	return &relay.Response{
		Status:        r.Status,
		Header:        h,
		ContentLength: int64(len(r.Body)),
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		Trailer:       func() relay.ReplyTrailer { return relay.ReplyTrailer{Complete: true, AttemptsLeft: attempts} },
	}
}

// Drain refuses to run further keys and waits until the requests that this node
// dispatched have ended.
func (c *Coordinator) Drain(ctx context.Context) error {
	return c.drainer.Drain(ctx)
}

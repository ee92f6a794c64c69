package claims

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// run dispatches a request of a claimed key. From then on the request no longer
// ends with its caller: a repeat of the key must get the outcome.
func (c *Coordinator) run(ctx context.Context, key claim.Key, req *relay.Request, ticket *claim.Ticket) (*relay.Response, int, *refuse.Error) {
	if !c.work.Enter() {
		return nil, req.Call.Attempts, ticket.Release(ticket.Attempts, refuse.New(refuse.NotReady, "the owner of the key is shutting down"))
	}
	call := *req
	call.Call.Root, call.Call.Attempts = ticket.Root, ticket.Attempts
	call.Repeatable = false
	call.BeforeAttempt = func(now time.Time) *refuse.Error { return ticket.Dispatch(now, c.ownership(key, now)) }
	call.OnNotExecuted = ticket.UndoDispatch
	resp, left, e := c.caller.Do(context.WithoutCancel(ctx), &call)
	if e != nil {
		defer c.work.Leave()
		if e.Executed == refuse.NotExecuted {
			return nil, left, ticket.Release(left, e)
		}
		return nil, left, ticket.FinishUnknown(e)
	}
	rec := &recorder{claims: c, ticket: ticket, resp: resp, body: resp.Body}
	out := *resp
	out.Body = rec
	return &out, 0, nil
}

// recorder keeps a copy of a response while it is read. When its reader leaves
// early, the rest is read in the background.
type recorder struct {
	claims *Coordinator
	ticket *claim.Ticket
	resp   *relay.Response
	body   io.ReadCloser
	kept   bytes.Buffer
	ended  bool
}

// Read implements io.Reader.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.kept.Len() <= claim.DefaultMaxResponseBytes {
		r.kept.Write(p[:n]) // a response above the limit is not stored, so the excess is harmless
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
	go func() {
		_, _ = io.Copy(io.Discard, r)
		_ = r.body.Close()
	}()
	return nil
}

func (r *recorder) end(err error) {
	if r.ended {
		return
	}
	r.ended = true
	defer r.claims.work.Leave()
	if !errors.Is(err, io.EOF) {
		r.ticket.FinishUnknown(refuse.New(refuse.OutcomeUnknown, "the answer of the upstream is incomplete"))
		return
	}
	r.ticket.Finish(time.Now(), &claim.Response{Status: r.resp.Status, Header: r.resp.Header, Body: r.kept.Bytes()})
}

// ReplayHeader marks a stored response.
const ReplayHeader = "Idempotency-Replayed"

// stored returns a response that the key got before. All attempts of the
// repeat are unused.
func stored(r *claim.Response, attempts int) *relay.Response {
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
	return c.work.Drain(ctx)
}

package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/refuse"
)

// Forward sends a request with an idempotency key to the node that owns the
// key and returns its answer. sent reports whether the owner may have seen the
// request.
func (c *Caller) Forward(ctx context.Context, req *Request, key, addr string) (resp *Response, left int, sent bool, e *refuse.Error) {
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	s, err := c.openClaim(ctx, req, key, addr)
	if err != nil {
		defer cancel()
		return nil, req.Call.Attempts, false, notSent(ctx, 0, "the node that owns the idempotency key is unreachable").refusal
	}
	body, _ := req.Body.open()
	go send(s, body, req.Body)
	reply, err := receiveHead(ctx, s)
	if err != nil {
		s.Reset(frame.CodeCanceled)
		defer cancel()
		fail := lost(ctx, err)
		return nil, 0, fail.refusal.Executed == refuse.Unknown, fail.refusal
	}
	if reply.Refusal != nil {
		s.Reset(frame.CodeDone)
		cancel()
		return nil, reply.AttemptsLeft, true, reply.Refusal
	}
	return c.newResponse(req, Candidate{}, s, reply, cancel), 0, true, nil
}

func (c *Caller) openClaim(ctx context.Context, req *Request, key, addr string) (*frame.Stream, error) {
	session, err := c.links.Session(ctx, addr)
	if err != nil {
		return nil, err
	}
	h := head(req, Candidate{}, req.Call.Attempts)
	h.Call.Depth--
	h.Key, h.Repeatable = key, req.Repeatable
	data, err := pack(h)
	if err != nil {
		return nil, err
	}
	return session.Open(ctx, KindClaim, data)
}

// ReadClaim returns the request and the idempotency key of a claim stream.
func ReadClaim(s *frame.Stream, now time.Time) (req *Request, key string, err error) {
	h, err := unpack[CallHead](s.Head())
	if err != nil {
		return nil, "", err
	}
	body, err := NewBody(s, h.ContentLength, func() http.Header {
		trailer, _ := unpack[http.Header](s.Trailer())
		return trailer
	})
	if err != nil {
		return nil, "", err
	}
	h.Call.Deadline = h.deadline(now)
	return &Request{
		Call: h.Call, Service: h.Service, Route: h.Route, Method: h.Method, URI: h.URI, Header: h.Header,
		ContentLength: h.ContentLength, Body: body, Repeatable: h.Repeatable,
	}, h.Key, nil
}

// WriteResponse sends a response as the answer on a claim stream.
func WriteResponse(s *frame.Stream, resp *Response) {
	data, err := pack(ReplyHead{Status: resp.Status, Header: resp.Header, ContentLength: resp.ContentLength})
	if err == nil {
		err = s.SendHead(data)
	}
	if err == nil {
		err = Copy(s, resp.Body)
	}
	if err != nil && !isTruncated(err) {
		s.Reset(frame.CodeInternal)
		return
	}
	trailer := resp.Trailer()
	trailer.Complete = err == nil
	if data, err = pack(trailer); err != nil || s.CloseWrite(data) != nil {
		s.Reset(frame.CodeInternal)
	}
}

func isTruncated(err error) bool {
	var t *TruncatedError
	return errors.As(err, &t)
}

// WriteRefusal sends a refusal as the answer on a claim stream.
func WriteRefusal(s *frame.Stream, e *refuse.Error, left int) {
	data, err := pack(ReplyHead{Refusal: e, AttemptsLeft: left})
	if err == nil {
		err = s.SendHead(data)
	}
	if err != nil || s.CloseWrite(nil) != nil {
		s.Reset(frame.CodeInternal)
	}
}

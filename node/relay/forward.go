package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/refuse"
)

// Forward sends a request with an idempotency key to the node that owns the claim
// of the key, and returns the response that the owner sends. The claim is the
// record of the key's first request and its outcome, so a request whose link is
// lost is sent to the owner again. sent reports whether the owner may have seen
// the request; left is the number of unused attempts.
func (c *Caller) Forward(ctx context.Context, req *Request, key, addr string) (resp *Response, left int, sent bool, e *refuse.Error) {
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	h := newCallHead(req, Candidate{}, req.Call.Attempts)
	h.Call.Depth--
	h.Key = key
	s, reply, fail := c.send(ctx, req, addr, KindClaim, h)
	if fail != nil {
		defer cancel()
		answered := fail.feedback != nil
		return nil, fail.attemptsLeft, answered || fail.refusal.Executed == refuse.ExecutionUnknown, fail.refusal
	}
	return c.newResponse(req, Candidate{}, time.Now(), s, reply, cancel), 0, true, nil
}

// ReadClaim returns the request and the idempotency key that Forward sent on a
// stream.
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
		Host: h.Host, RequestID: h.RequestID, ContentLength: h.ContentLength, Body: body, Repeatable: h.Repeatable,
	}, h.Key, nil
}

// WriteResponse sends a response on a claim stream.
func WriteResponse(s *frame.Stream, resp *Response) {
	data, err := pack(ReplyHead{Status: resp.Status, Header: resp.Header, ContentLength: resp.ContentLength})
	if err == nil {
		err = s.SendHead(data)
	}
	if err == nil {
		err = CopyBody(s, resp.Body)
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

// WriteRefusal sends a refusal and the number of unused attempts on a claim
// stream.
func WriteRefusal(s *frame.Stream, e *refuse.Error, left int) {
	data, err := pack(ReplyHead{Refusal: e, AttemptsLeft: left})
	if err == nil {
		err = s.SendHead(data)
	}
	if err != nil || s.CloseWrite(nil) != nil {
		s.Reset(frame.CodeInternal)
	}
}

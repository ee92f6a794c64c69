package frame

import (
	"context"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxCallBytes limits each message of a control exchange.
const MaxCallBytes = 16 << 20

// inlineBytes is the largest message of a control exchange that travels in the
// head or trailer. A larger one is sent as the body, under flow control.
const inlineBytes = 32 << 10

// Call performs a control exchange: it sends req and returns the answer. The
// peer's handler serves it with Answer. Messages are encoded with msgpack.
func Call[Req, Resp any](ctx context.Context, s *Session, kind uint8, req Req) (Resp, error) {
	var resp Resp
	msg, err := msgpack.Marshal(&req)
	if err != nil {
		return resp, err
	}
	head := msg
	if len(msg) > inlineBytes {
		head = nil
	}
	st, err := s.Open(ctx, kind, head)
	if err != nil {
		return resp, err
	}
	defer st.Reset(CodeCanceled)
	if head == nil {
		if _, err := st.Write(msg); err != nil {
			return resp, callError(ctx, err)
		}
	}
	if err := st.CloseWrite(nil); err != nil {
		return resp, callError(ctx, err)
	}
	err = recvMessage(st, st.Trailer, &resp)
	return resp, callError(ctx, err)
}

// callError prefers the error of ctx, as its end is what reset the stream.
func callError(ctx context.Context, err error) error {
	var re *ResetError
	if ctx.Err() != nil && errors.As(err, &re) && !re.Remote {
		return ctx.Err()
	}
	return err
}

// ServeCall serves one control exchange that the peer started with Call. It decodes
// the request, calls f and sends its answer. An error of f resets the stream:
// with its code if it is a *ResetError, otherwise with CodeInternal. ServeCall
// returns the first error.
func ServeCall[Req, Resp any](st *Stream, f func(ctx context.Context, req Req) (Resp, error)) error {
	var req Req
	if err := recvMessage(st, st.Head, &req); err != nil {
		st.Reset(resetCode(err, CodeInvalid))
		return err
	}
	resp, err := f(st.Context(), req)
	if err == nil {
		err = sendAnswer(st, &resp)
	}
	if err != nil {
		st.Reset(resetCode(err, CodeInternal))
	}
	return err
}

func sendAnswer(st *Stream, resp any) error {
	msg, err := msgpack.Marshal(resp)
	if err != nil {
		return err
	}
	if len(msg) <= inlineBytes {
		return st.CloseWrite(msg)
	}
	if _, err := st.Write(msg); err != nil {
		return err
	}
	return st.CloseWrite(nil)
}

// recvMessage reads the body to its end and decodes the message, which is the
// body or, if that is empty, what inline returns.
func recvMessage(st *Stream, inline func() []byte, v any) error {
	msg, err := io.ReadAll(io.LimitReader(st, MaxCallBytes+1))
	if err != nil {
		return err
	}
	if len(msg) > MaxCallBytes {
		return &ResetError{Code: CodeTooLarge}
	}
	if len(msg) == 0 {
		msg = inline()
	}
	return msgpack.Unmarshal(msg, v)
}

func resetCode(err error, other Code) Code {
	var re *ResetError
	if errors.As(err, &re) {
		return re.Code
	}
	return other
}

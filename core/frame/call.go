package frame

import (
	"context"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxCallBytes is the maximum size of a request or response message of Call.
const MaxCallBytes = 16 << 20

// maxInlineBytes is the maximum size of a Call message that is sent in the head
// or trailer. A larger message is sent as the body, under flow control.
const maxInlineBytes = 32 << 10

// Call sends req to the peer and returns its response. The peer's handler
// serves it with ServeCall. Messages are encoded with msgpack.
func Call[Req, Resp any](ctx context.Context, s *Session, kind uint8, req Req) (Resp, error) {
	var resp Resp
	msg, err := msgpack.Marshal(&req)
	if err != nil {
		return resp, err
	}
	head := msg
	if len(msg) > maxInlineBytes {
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

// callError returns the error of ctx if the end of ctx caused the local reset
// of the stream, and err otherwise.
func callError(ctx context.Context, err error) error {
	var re *ResetError
	if ctx.Err() != nil && errors.As(err, &re) && !re.Remote {
		return ctx.Err()
	}
	return err
}

// ServeCall serves one request that the peer sent with Call. It decodes the
// request, calls f and sends the response. If f returns an error, the stream is
// reset with the code of the *ResetError that the error wraps, or with
// CodeInternal for any other error. A request that can't be decoded resets the
// stream with CodeInvalid, one above MaxCallBytes with CodeTooLarge. ServeCall
// returns the first error.
func ServeCall[Req, Resp any](st *Stream, f func(ctx context.Context, req Req) (Resp, error)) error {
	var req Req
	if err := recvMessage(st, st.Head, &req); err != nil {
		st.Reset(resetCode(err, CodeInvalid))
		return err
	}
	resp, err := f(st.Context(), req)
	if err == nil {
		err = sendResponse(st, &resp)
	}
	if err != nil {
		st.Reset(resetCode(err, CodeInternal))
	}
	return err
}

func sendResponse(st *Stream, resp any) error {
	msg, err := msgpack.Marshal(resp)
	if err != nil {
		return err
	}
	if len(msg) <= maxInlineBytes {
		return st.CloseWrite(msg)
	}
	if _, err := st.Write(msg); err != nil {
		return err
	}
	return st.CloseWrite(nil)
}

// recvMessage reads the body to its end and decodes the message from it. If the
// body is empty, it decodes the result of inline instead.
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
	return Decode(msg, v)
}

func resetCode(err error, fallback Code) Code {
	var re *ResetError
	if errors.As(err, &re) {
		return re.Code
	}
	return fallback
}

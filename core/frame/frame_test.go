package frame

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	secret = []byte("0123456789abcdef")
	bg     = context.Background()
)

// tcpPair returns both ends of a loopback TCP connection.
func tcpPair(t testing.TB) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	b, err := l.Accept()
	assert.NilError(t, err)
	return a, b
}

// connectBoth runs Client and Server concurrently on the two ends of a
// connection.
func connectBoth(a, b net.Conn, h Handler, copts, sopts []Option) (cs, ss *Session, cerr, serr error) {
	var wg sync.WaitGroup
	wg.Go(func() { ss, serr = Server(bg, b, h, sopts...) })
	cs, cerr = Client(bg, a, copts...)
	wg.Wait()
	return cs, ss, cerr, serr
}

func named(name string, opts ...Option) []Option {
	return append([]Option{WithName(name), WithSecret(secret)}, opts...)
}

// newSessionPair returns two connected sessions that are closed at the end of
// the test.
func newSessionPair(t testing.TB, a, b net.Conn, h Handler, opts ...Option) (*Session, *Session) {
	t.Helper()
	cs, ss, cerr, serr := connectBoth(a, b, h, named("a", opts...), named("b", opts...))
	assert.NilError(t, cerr)
	assert.NilError(t, serr)
	t.Cleanup(func() { closeAll(cs, ss) })
	return cs, ss
}

func closeAll(sessions ...*Session) {
	for _, s := range sessions {
		_ = s.Close()
	}
}

// echo sends the body of the request back, with the request's head as the head
// and the trailer of the response.
func echo(st *Stream) {
	if st.SendHead(st.Head()) != nil {
		return
	}
	if _, err := io.Copy(st, st); err != nil {
		return
	}
	_ = st.CloseWrite(st.Head())
}

// exchange sends body to the echo handler and checks the response.
func exchange(s *Session, head, body []byte) error {
	st, err := s.Open(bg, 7, head)
	if err != nil {
		return err
	}
	return exchangeOn(st, head, body)
}

func exchangeOn(st *Stream, head, body []byte) error {
	defer st.Reset(CodeCanceled)
	sent := make(chan error, 1)
	go func() {
		_, err := st.Write(body)
		sent <- errors.Join(err, st.CloseWrite(nil))
	}()
	got, err := st.RecvHead(bg)
	if err != nil {
		return err
	}
	all, err := io.ReadAll(st)
	if err := errors.Join(err, <-sent); err != nil {
		return err
	}
	if !bytes.Equal(got, head) || !bytes.Equal(st.Trailer(), head) || !bytes.Equal(all, body) {
		return fmt.Errorf("wrong response: head %q, trailer %q, %d bytes", got, st.Trailer(), len(all))
	}
	return nil
}

func TestCall(t *testing.T) {
	a, b := tcpPair(t)
	large := bytes.Repeat([]byte("x"), 3<<20) // larger than the window and maxInlineBytes
	cs, _ := newSessionPair(t, a, b, func(st *Stream) {
		_ = ServeCall(st, func(_ context.Context, p []byte) ([]byte, error) {
			if len(p) == 1 {
				return nil, &ResetError{Code: CodeUser + 1}
			}
			return p, nil
		})
	})
	for _, p := range [][]byte{{}, []byte("small"), large} {
		got, err := Call[[]byte, []byte](bg, cs, 3, p)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, p))
	}
	_, err := Call[[]byte, []byte](bg, cs, 3, []byte("1"))
	assertReset(t, err, CodeUser+1, true)
	_, err = Call[string, int](bg, cs, 3, "a string, not bytes of an int")
	assert.ErrorContains(t, err, "msgpack")
	assert.Equal(t, cs.Peer(), "b")
}

func assertReset(t testing.TB, err error, code Code, remote bool) {
	t.Helper()
	var re *ResetError
	assert.Assert(t, errors.As(err, &re), "%v", err)
	assert.Equal(t, *re, ResetError{Code: code, Remote: remote})
}

// Both sides open streams concurrently. Confusing the stream numbers or the
// windows of the two sides shows as a wrong response, a WireError or a
// deadlock.
func TestBothSidesOpen(t *testing.T) {
	a, b := tcpPair(t)
	cs, ss := newSessionPair(t, a, b, echo, WithHandler(echo), WithWindows(4<<10, 16<<10))
	var wg sync.WaitGroup
	var failed atomic.Value
	for i := range 32 {
		s, body := cs, bytes.Repeat([]byte{byte(i)}, i*1000)
		if i%2 == 0 {
			s = ss
		}
		wg.Go(func() {
			for j := range 20 {
				if err := exchange(s, fmt.Appendf(nil, "%d.%d", i, j), body); err != nil {
					failed.Store(err)
				}
			}
		})
	}
	wg.Wait()
	assert.Assert(t, failed.Load() == nil, "%v", failed.Load())
	assert.NilError(t, cs.Shutdown(bg))
	assert.Equal(t, cs.InFlight()+ss.InFlight(), 0)
}

// Calls in the wrong order must fail locally. Otherwise they would reach the
// peer as a protocol violation that ends the session.
func TestStreamOrder(t *testing.T) {
	a, b := tcpPair(t)
	cs, _ := newSessionPair(t, a, b, echo)
	big := make([]byte, MaxHeadBytes+1)
	_, err := cs.Open(bg, 1, big)
	assert.ErrorContains(t, err, "too large")
	st, err := cs.Open(bg, 1, big[1:])
	assert.NilError(t, err)
	assert.ErrorContains(t, st.SendHead(nil), "out of order")
	assert.ErrorContains(t, st.CloseWrite(big), "too large")
	assert.NilError(t, st.CloseWrite(nil))
	assert.ErrorContains(t, st.CloseWrite(nil), "out of order")
	_, err = st.Write([]byte("x"))
	assert.ErrorContains(t, err, "after the end")
	rest, err := io.ReadAll(st)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
	assert.Equal(t, len(st.Trailer()), MaxHeadBytes)
	assert.NilError(t, exchange(cs, nil, []byte("the session goes on")))
}

package entry

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestIdleCloseAnswersWhatItReadsOverHTTP2 guards against requests of HTTP/2 connections that are
// read and get no answer because their connection is closed as idle.
func TestIdleCloseAnswersWhatItReadsOverHTTP2(t *testing.T) {
	var sent passedOn
	var heads, responses atomic.Int64
	s, addr := newTestServer(t, sent.send, wrapConns(func(c net.Conn) net.Conn {
		return &headCounterConn{Conn: c, read: frameReader{n: &heads, skip: http2PrefaceSize}, written: frameReader{n: &responses}}
	}))
	const limit = 20 * time.Millisecond
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(50 * time.Microsecond) {
			s.CloseIdleConns(limit, time.Now())
		}
	}()
	var answered, failed atomic.Int64
	var callers sync.WaitGroup
	for range 32 {
		c := http2Client(t)
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(limit):
				}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/", http.NoBody)
				if !assert.Check(t, err) {
					return
				}
				req.Host = "press.example"
				resp, err := c.Do(req)
				if err != nil {
					failed.Add(1)
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				assert.Check(t, err)
				assert.Check(t, resp.Body.Close())
				answered.Add(1)
			}
		})
	}
	callers.Wait()
	t.Logf("%d heads read, %d written; %d requests answered, %d failed", heads.Load(), responses.Load(), answered.Load(), failed.Load())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if read, written := heads.Load(), responses.Load(); read != written {
			return poll.Continue("%d requests read, %d responses written", read, written)
		}
		return poll.Success()
	})
}

// headCounterConn counts the heads of requests and responses on an HTTP/2 connection.
type headCounterConn struct {
	net.Conn
	read, written frameReader
}

// Read implements net.Conn.
func (c *headCounterConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.add(p[:n])
	return n, err
}

// Write implements net.Conn.
func (c *headCounterConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.add(p[:n])
	return n, err
}

// Sizes and types of RFC 9113, sections 3.4, 4.1 and 6.2.
const (
	http2PrefaceSize     = 24
	http2FrameHeaderSize = 9
	http2HeadersType     = 1
)

// frameReader counts the complete HEADERS frames of one direction of an HTTP/2 connection.
type frameReader struct {
	n    *atomic.Int64
	skip int // bytes of the preface that are still to come
	data []byte
}

func (f *frameReader) add(p []byte) {
	skipped := min(f.skip, len(p))
	f.skip -= skipped
	f.data = append(f.data, p[skipped:]...)
	for len(f.data) >= http2FrameHeaderSize {
		size := http2FrameHeaderSize + int(f.data[0])<<16 + int(f.data[1])<<8 + int(f.data[2])
		if len(f.data) < size {
			return
		}
		if f.data[3] == http2HeadersType {
			f.n.Add(1)
		}
		f.data = f.data[size:]
	}
}

package fakes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodsill.org/core/logsvc"
)

// Log is a stand-in for the platform's log service. It speaks the protocol of
// core/logsvc and keeps records in memory. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	streams  map[string]*stream
	down     bool
	delay    time.Duration
	lose     int // answers to appends that will be lost after the append took effect
	appends  int
	notify   chan struct{}
	server   *http.Server
	listener net.Listener
}

type stream struct {
	first   uint64
	records [][]byte
}

// StartLog starts a log service on an address such as "127.0.0.1:0".
func StartLog(addr string) (*Log, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &Log{streams: map[string]*stream{}, notify: make(chan struct{}), listener: ln}
	e := echo.New()
	e.POST("/streams/:stream/records", l.serveAppend)
	e.GET("/streams/:stream/records", l.serveRead)
	l.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(ln) }()
	return l, nil
}

// URL returns the base URL of the service.
func (l *Log) URL() string {
	return "http://" + l.listener.Addr().String()
}

// Close stops the service and drops open connections.
func (l *Log) Close() error {
	return l.server.Close()
}

// SetDown starts or ends an outage. Requests fail during an outage.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// SetDelay delays each answer.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseAnswers drops the connection in place of the answer to the next n
// appends. The appends take effect.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Expire drops the records of a stream before an offset.
func (l *Log) Expire(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := min(before, s.first+uint64(len(s.records)))
	if n > s.first {
		s.records = s.records[n-s.first:]
		s.first = n
	}
}

// Appends returns the number of append requests that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// stream returns a stream, a new one if needed. The caller holds mu.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// wake lets waiting reads look again. The caller holds mu.
func (l *Log) wake() {
	close(l.notify)
	l.notify = make(chan struct{})
}

// outage reports whether the service is down, after the configured delay.
func (l *Log) outage(ctx context.Context) bool {
	l.mu.Lock()
	delay, down := l.delay, l.down
	l.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	return down
}

func (l *Log) serveAppend(c echo.Context) error {
	if l.outage(c.Request().Context()) {
		return c.String(http.StatusServiceUnavailable, "outage")
	}
	var body logsvc.AppendRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil || len(body.Records) == 0 {
		return c.String(http.StatusBadRequest, "body holds no records")
	}
	first, lost := l.append(c.Param("stream"), body.Records)
	if lost {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, logsvc.AppendResponse{First: first})
}

func (l *Log) append(name string, records [][]byte) (first uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first = s.first + uint64(len(s.records))
	s.records = append(s.records, records...)
	l.appends++
	l.wake()
	if l.lose > 0 {
		l.lose--
		return first, true
	}
	return first, false
}

func (l *Log) serveRead(c echo.Context) error {
	ctx := c.Request().Context()
	if l.outage(ctx) {
		return c.String(http.StatusServiceUnavailable, "outage")
	}
	from, err1 := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	n, err2 := strconv.Atoi(c.QueryParam("max"))
	waitMS, err3 := strconv.ParseInt(c.QueryParam("waitMs"), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || n < 1 {
		return c.String(http.StatusBadRequest, "from, max and waitMs must be numbers")
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		b, expired, down, changed := l.read(c.Param("stream"), from, n)
		switch {
		case down:
			return c.String(http.StatusServiceUnavailable, "outage")
		case expired:
			return c.JSON(http.StatusGone, logsvc.ExpiredResponse{First: b.First})
		case len(b.Records) > 0:
			return c.JSON(http.StatusOK, b)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(http.StatusOK, b)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Log) read(name string, from uint64, n int) (b logsvc.Batch, expired, down bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	end := s.first + uint64(len(s.records))
	if from < s.first {
		return logsvc.Batch{First: s.first}, true, l.down, l.notify
	}
	b = logsvc.Batch{First: from, Next: from, End: end}
	if from < end {
		part := s.records[from-s.first:]
		b.Records = part[:min(n, len(part))]
		b.Next = from + uint64(len(b.Records))
	}
	return b, false, l.down, l.notify
}

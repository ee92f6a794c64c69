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

// Log is a fake of the platform's log service. It implements the HTTP protocol of
// core/logsvc and stores records in memory. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	streams  map[string]*stream
	down     bool
	delay    time.Duration
	lose     int // number of coming appends that take effect but whose response is lost
	appends  int
	notify   chan struct{}
	server   *http.Server
	listener net.Listener
}

// stream holds the records of a stream from the offset first on.
type stream struct {
	first   uint64
	records [][]byte
}

// StartLog starts a log service that listens on an address such as
// "127.0.0.1:0".
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

// Close stops the service and closes open connections.
func (l *Log) Close() error {
	return l.server.Close()
}

// SetDown starts or ends an outage, during which all requests fail.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notifyReaders()
}

// SetDelay sets the delay before each response.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseAnswers makes the next n appends take effect but drop the connection
// instead of sending a response.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Expire removes the records of a stream before an offset.
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

// stream returns a stream and creates it if it does not exist. The caller must
// hold mu.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// notifyReaders makes pending reads check the stream again. The caller must hold
// mu.
func (l *Log) notifyReaders() {
	close(l.notify)
	l.notify = make(chan struct{})
}

// delayAndCheckDown waits for the configured delay and reports whether the service
// was down when the request arrived.
func (l *Log) delayAndCheckDown(ctx context.Context) bool {
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
	if l.delayAndCheckDown(c.Request().Context()) {
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

// append adds records to a stream and returns the offset of the first one. Lost
// reports whether the response must be dropped.
func (l *Log) append(name string, records [][]byte) (first uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first = s.first + uint64(len(s.records))
	s.records = append(s.records, records...)
	l.appends++
	l.notifyReaders()
	if l.lose > 0 {
		l.lose--
		return first, true
	}
	return first, false
}

func (l *Log) serveRead(c echo.Context) error {
	ctx := c.Request().Context()
	if l.delayAndCheckDown(ctx) {
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

// read returns up to n records from an offset on. Changed is closed on the next
// append or change of the outage.
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

package fakes

import (
	"context"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"
)

// CrashDelay is how long an upstream runs a request that crashes it. Other requests run
// beside it.
const CrashDelay = 30 * time.Millisecond

// crashRule says which requests crash an upstream and how long it is down then.
type crashRule struct {
	matches func(r *http.Request) bool
	down    time.Duration
}

// CrashingRequest is the arrival of a request that crashes the upstream.
type CrashingRequest struct {
	ID      string // as in the header RequestID
	Arrived time.Time
	Began   time.Time // when it began to run; zero if it didn't
}

// Crash is the end of a process of an upstream.
type Crash struct {
	At      time.Time
	Running []string // identifiers of the requests that ran, including that which caused it
}

// CrashOn makes the process of the upstream crash CrashDelay after it has begun to run a
// request that matches: all connections are closed without a response, and the address
// refuses connections. After the time down a new process is at the same address.
func (u *Upstream) CrashOn(matches func(r *http.Request) bool, down time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rule = crashRule{matches: matches, down: down}
}

// CrashingRequests returns the arrivals of requests that crash the upstream.
func (u *Upstream) CrashingRequests() []CrashingRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]CrashingRequest, 0, len(u.crashing))
	for _, q := range u.crashing {
		out = append(out, *q)
	}
	return out
}

// Crashes returns the crashes of the upstream so far.
func (u *Upstream) Crashes() []Crash {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.crashes)
}

// Down reports whether the upstream has crashed and isn't back.
func (u *Upstream) Down() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.down
}

// recordCrashing records the arrival of a request if it is one that crashes the upstream.
// Otherwise it returns nil.
func (u *Upstream) recordCrashing(r *http.Request, now time.Time) *CrashingRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rule.matches == nil || !u.rule.matches(r) {
		return nil
	}
	q := &CrashingRequest{ID: r.Header.Get(RequestID), Arrived: now}
	u.crashing = append(u.crashing, q)
	return q
}

// begin records that a request runs, and plans the crash if q is not nil. The returned
// function records the end of the request.
func (u *Upstream) begin(r *http.Request, q *CrashingRequest, now time.Time) (end func()) {
	id := r.Header.Get(RequestID)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[id]++
	if q != nil && !u.down {
		q.Began = now
		p := u.process
		time.AfterFunc(CrashDelay, func() { u.crash(p, time.Now()) })
	}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.running[id]--; u.running[id] == 0 {
			delete(u.running, id)
		}
	}
}

// crash ends a process, unless another crash has done so.
func (u *Upstream) crash(p *process, now time.Time) {
	u.mu.Lock()
	if u.process != p || u.down || u.closed {
		u.mu.Unlock()
		return
	}
	u.down = true
	u.crashes = append(u.crashes, Crash{At: now, Running: slices.Sorted(maps.Keys(u.running))})
	down := u.rule.down
	u.mu.Unlock()
	_ = p.end()
	u.client.CloseIdleConnections()
	time.AfterFunc(down, u.comeBack)
}

// restartInterval is the time between attempts to start the next process.
const restartInterval = 100 * time.Millisecond

// comeBack starts the next process after a crash.
func (u *Upstream) comeBack() {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return
	}
	if err := u.startProcess(); err != nil {
		u.mu.Unlock()
		time.AfterFunc(restartInterval, u.comeBack)
		return
	}
	u.down = false
	u.mu.Unlock()
	_ = u.Replace() // if the node is down, a later announcement reaches it
}

// process is a process of an upstream.
type process struct {
	server *http.Server
	cancel context.CancelFunc // ends the contexts of the requests
}

// startProcess starts a process at the address of the upstream. The caller holds mu.
func (u *Upstream) startProcess() error {
	ln, err := net.Listen("tcp", u.Addr())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler: u, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	u.process = &process{server: server, cancel: cancel}
	go func() { _ = server.Serve(&tap{Listener: ln, record: &u.received}) }()
	return nil
}

// end closes the listener and all connections and then cancels the requests, so that none
// of them can respond.
func (p *process) end() error {
	err := p.server.Close()
	p.cancel()
	return err
}

// reservePort binds a socket to a free port of the loopback address. It doesn't listen, so
// that connections are refused unless a listener has the port too, and keeps others from
// getting the port while the upstream is down.
func reservePort() (*os.File, *net.TCPAddr, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, nil, os.NewSyscallError("socket", err)
	}
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "port")
	addr, err := bindLoopback(fd)
	if err != nil {
		_ = f.Close()
		return nil, nil, err
	}
	return f, addr, nil
}

func bindLoopback(fd int) (*net.TCPAddr, error) {
	// Allows a listener with the same option, as net.Listen sets it, at the address.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, os.NewSyscallError("getsockname", err)
	}
	return &net.TCPAddr{IP: loopback[:], Port: bound.(*syscall.SockaddrInet4).Port}, nil
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// Node is one process of the project, started like the deploy file says.
type Node struct {
	Name, Zone, IP                   string
	Callers, Ready, Control, Service string
	Peers, Operations, Local         string
	App                              string // address of the target
	StoreAddr                        string

	site     *Site
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	starts   int
}

// Site is a small deployment: nodes with their targets, and the store.
type Site struct {
	Nodes   []*Node
	Targets []*Target
	Store   *Store
	Runs    *Runs

	dir    string
	binary string
	record *os.File
	recMu  sync.Mutex
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	ids    atomic.Int64
	prefix string
	net    int // second number of the addresses
	port   int // first of the ports of each machine
}

func newSite(record string) (*Site, error) {
	dir, err := os.MkdirTemp("", "dogwoodsill-review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/platform")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	s := &Site{dir: dir, binary: binary, record: f, began: time.Now(), Runs: &Runs{}}
	s.prefix = fmt.Sprintf("%08x", rand.Uint32())
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for !s.choosePorts() {
	}
	s.Store, err = startStore(fmt.Sprintf("127.%d.0.1", s.net))
	return s, err
}

// choosePorts draws a network in 127.0.0.0/8 and the first of seven ports below those that the
// system gives to connections. It reports whether the ports are free.
func (s *Site) choosePorts() bool {
	s.net, s.port = 10+rand.IntN(200), 20000+10*rand.IntN(1000)
	for i := range 7 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", s.net, s.port+i))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (s *Site) log(format string, args ...any) {
	s.recMu.Lock()
	defer s.recMu.Unlock()
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

func (s *Site) say(format string, args ...any) {
	s.log(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

// addNode adds a machine with a node and a target of a service.
func (s *Site) addNode(zone string, zoneNo, no int, service string, slots int, work time.Duration, zones []string) (*Node, *Target) {
	ip := fmt.Sprintf("127.%d.%d.%d", s.net, zoneNo+1, no+1)
	n := &Node{
		Name: fmt.Sprintf("sidecar-%s-%d", zone, no+1), Zone: zone, IP: ip, Service: service, site: s,
		StoreAddr: s.Store.Addr,
	}
	for i, addr := range []*string{&n.Callers, &n.Ready, &n.Control, &n.App, &n.Peers, &n.Operations, &n.Local} {
		*addr = fmt.Sprintf("%s:%d", ip, s.port+i)
	}
	n.settings = filepath.Join(s.dir, n.Name+".toml")
	s.Nodes = append(s.Nodes, n)
	t := &Target{
		Service: service, ID: fmt.Sprintf("i-%s-%s-%d", s.prefix, zone, no+1), Addr: n.App, Zone: zone, Control: n.Control, Slots: slots, Work: work, runs: s.Runs,
	}
	s.Targets = append(s.Targets, t)
	n.render(zones)
	return n, t
}

// render writes the settings that deploy/node.toml gives. All machines of a script share
// 127.0.0.1, so listen.local is at the machine's own loopback address.
func (n *Node) render(zones []string) {
	list := ""
	for i, z := range zones {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf("%q", z)
	}
	text := fmt.Sprintf(`[instance]
name = %q
zone = %q
[listen]
callers = %q
local = %q
peers = %q
operations = %q
ready = %q
announcements = %q
[log]
url = "http://%s"
retention = "300s"
[peers]
secret = "dogwoodsill on %s"
[upstream]
service = %q
addr = %q
heartbeat = "1.5s"
[bounds]
zones = [%s]
revokeWithin = "5s"
strict = true
retryRatio = 0.2
retrySlack = 47
[limits]
headerBytes = 65536
idleTimeout = "1h"
memoryMb = 284
descriptors = 4100
[logging]
level = "info"
[shutdown]
timeout = "6s"
linger = "2.2s"
`, n.Name, n.Zone, n.Callers, n.Local, n.Peers, n.Operations, n.Ready, n.Control, n.StoreAddr, n.site.Store.Addr, n.Service, n.App, list)
	_ = os.WriteFile(n.settings, []byte(text), 0o600)
}

func (n *Node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	out, err := os.Create(filepath.Join(n.site.dir, fmt.Sprintf("%s.%d.log", n.Name, n.starts)))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(n.site.binary)
	cmd.Env = []string{"DOGWOODSILL_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	return nil
}

func (n *Node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (n *Node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}

func (n *Node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all targets and nodes and waits until the nodes are ready.
func (s *Site) startAll() error {
	for _, t := range s.Targets {
		if err := t.start(s.ctx); err != nil {
			return err
		}
	}
	for _, n := range s.Nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range s.Nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *Site) end() {
	s.cancel()
	for _, n := range s.Nodes {
		n.kill()
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// Answer is what a client gets for a request.
type Answer struct {
	ID     string
	Sent   time.Time
	At     time.Time
	Status int // 0 for none
	Signed bool
	Body   string
	Err    error
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 512}}
}

func (s *Site) newID() string { return fmt.Sprintf("%s%08x", s.prefix, s.ids.Add(1)) }

// send sends one client attempt to a node.
func (s *Site) send(c *http.Client, n *Node, id, method, host, path, key string, body []byte, deadline time.Duration) Answer {
	a := Answer{ID: id}
	ctx, cancel := context.WithTimeout(s.ctx, deadline)
	defer cancel()
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Callers+path, rd)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = host
	req.Header.Set("Attempt-Id", a.ID)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	a.Sent = time.Now()
	resp, err := c.Do(req)
	if err != nil {
		a.Err, a.At = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.At, a.Err = time.Now(), err
	a.Status, a.Body, a.Signed = resp.StatusCode, string(data), resp.Header.Get("Response-Signature") != ""
	return a
}

// Configuration documents.
type resource struct {
	EntryKind string
	Metadata  map[string]string
	Spec      map[string]any
}

type document struct {
	Version   int
	Resources []resource
}

func routeOf(name, host, prefix, kind, service string, timeout float64, attempts int, open bool) resource {
	return resource{"Routes", map[string]string{"Name": name}, map[string]any{
		"Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutS": timeout, "LatencyGoalS": 1.5, "Priority": 0, "Service": service,
		"MaxAttempts": attempts, "AllowAnonymous": open,
	}}
}

func serviceOf(name string) resource {
	return resource{"Services", map[string]string{"Name": name}, map[string]any{"HealthPath": "/healthz", "MaxConnections": 472, "Protocol": "h1", "Tls": false}}
}

func tenantOf(name string, keys []string, rate, burst float64) resource {
	return resource{"Tenants", map[string]string{"Name": name}, map[string]any{"ApiKeys": keys, "Priority": 1, "RatePerS": rate, "Burst": burst}}
}

func limitsOf() resource {
	return resource{"Limits", map[string]string{}, map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}}
}

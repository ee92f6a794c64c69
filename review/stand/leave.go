package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const leaveKey = "key-of-club-1-0123456789"

// restartable is a target that can end and start again.
type restartable struct {
	*Target
	srv    *http.Server
	cancel context.CancelFunc
}

func (t *restartable) begin(ctx context.Context) error {
	ln, err := net.Listen("tcp", t.Addr)
	if err != nil {
		return err
	}
	t.born = time.Now().UnixMilli()
	t.seq.Store(0)
	t.leaving.Store(false)
	t.srv = &http.Server{Handler: t.Target}
	go func() { _ = t.srv.Serve(ln) }()
	beats, cancel := context.WithCancel(ctx)
	t.cancel = cancel
	go t.beats(beats)
	return nil
}

// leaveCase restarts the machines of one service in turn, each target under the Id that it had,
// and then adds a route to that service.
func leaveCase(s *Site, trouble bool) (bool, error) {
	press(s, 10*time.Millisecond)
	resources := []resource{
		routeOf("history", "press.example", "/history/", "safe", "archive", 5, 2, false),
		routeOf("print-order", "press.example", "/order/", "unsafe", "orders", 5, 2, false),
		serviceOf("archive"), serviceOf("orders"), serviceOf("artwork"), serviceOf("catalogue"), limitsOf(),
		tenantOf("club1", []string{leaveKey}, 0, 0),
	}
	s.Store.PutConfig(document{Version: 3, Resources: resources})
	targets := make([]*restartable, len(s.Targets))
	for i, t := range s.Targets {
		targets[i] = &restartable{Target: t}
		if err := targets[i].begin(s.ctx); err != nil {
			return false, err
		}
	}
	s.Targets = nil // they run already
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if n := s.burst("before", "POST", "/order/1", 26); n < 20 {
		return false, fmt.Errorf("only %d of 26 orders were served at first", n)
	}
	for i, t := range targets {
		if t.Service != "orders" || !trouble {
			continue
		}
		if err := s.restartMachine(s.Nodes[i], t); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	s.burst("first route to orders, after the restarts", "POST", "/order/1", 26)
	resources = append(resources, routeOf("reprint", "press.example", "/reprint/", "unsafe", "orders", 5, 2, false))
	s.Store.PutConfig(document{Version: 5, Resources: resources})
	s.say("version 5 adds the route reprint to the service orders")
	time.Sleep(5 * time.Second) // ConfigS is 2
	var added, first int
	const rounds, each = 4, 26
	for range rounds {
		added += s.burst("route added later, to orders", "POST", "/reprint/1", each)
		first += s.burst("first route, to archive", "GET", "/history/1", each)
		first += s.burst("first route, to orders", "POST", "/order/1", each)
		time.Sleep(3 * time.Second)
	}
	addedShare, firstShare := float64(added)/(rounds*each), float64(first)/(2*rounds*each)
	s.say("in steady state: served %.2f of %d requests on the route that was added later, %.2f of those on the first routes", addedShare, rounds*each, firstShare)
	return addedShare < firstShare/4, nil
}

// restartMachine restarts a machine as planned: its target drains and ends, the node gets
// SIGTERM afterwards, both start again, the target under the Id that it had.
func (s *Site) restartMachine(n *Node, t *restartable) error {
	t.cancel()
	t.leaving.Store(true)
	acked := t.beat("draining")
	s.say("%s: draining, acknowledged %v", t.ID, acked)
	time.Sleep(2500 * time.Millisecond) // DrainS and a little longer
	_ = t.srv.Close()
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	_ = n.cmd.Wait()
	n.cmd = nil
	n.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	if os.Getenv("NEWID") != "" {
		t.ID += "x" // for comparison
	}
	if err := t.begin(s.ctx); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	if err := n.start(); err != nil {
		return err
	}
	s.say("%s and %s have started again", t.ID, n.Name)
	time.Sleep(4 * time.Second)
	return nil
}

// burst sends requests through all nodes and returns how many were served.
func (s *Site) burst(what, method, path string, count int) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ok, statuses := 0, map[int]int{}
	c := newClient()
	for i := range count {
		wg.Go(func() {
			n := s.Nodes[i%len(s.Nodes)]
			var body []byte
			if method == "POST" {
				body = []byte("200 stubs")
			}
			a := s.send(c, n, s.newID(), method, "press.example", path, leaveKey, body, 3*time.Second)
			s.log("%s %s through %s: status %d %s", a.ID, path, n.Name, a.Status, a.Body)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.Status]++
			if a.Status == http.StatusOK && a.Signed {
				ok++
			}
		})
	}
	wg.Wait()
	s.say("%s: %d of %d served, by status %v", what, ok, count, statuses)
	return ok
}

func init() { cases["leave"] = leaveCase }

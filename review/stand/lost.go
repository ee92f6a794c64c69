package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	graceS      = 6 * time.Second // GraceS of the settings
	lostKey     = "key-of-club-1-0123456789"
	orderWork   = 1800 * time.Millisecond // work of an order before its call
	checkWork   = 2500 * time.Millisecond // work of the call
	routeLimit  = 6 * time.Second         // TimeoutS of both routes
	clientLimit = 6 * time.Second         // Deadline-Ms of the orders
)

// exchange is one request that a client or a target sent, as its sender saw it.
type exchange struct {
	id, from string
	sent, at time.Time
	deadline time.Time
	status   int
	complete bool
	err      error
}

// lostCase stops one node with SIGTERM while its target runs orders, each of which makes a
// call through the node.
func lostCase(s *Site, trouble bool) (bool, error) {
	press(s, 20*time.Millisecond)
	s.Store.PutConfig(document{Version: 3, Resources: []resource{
		routeOf("history", "press.example", "/history/", "safe", "archive", routeLimit.Seconds(), 2, false),
		routeOf("print-order", "press.example", "/order/", "unsafe", "orders", routeLimit.Seconds(), 2, false),
		routeOf("serial-check", "calls.example", "/serial/", "safe", "archive", routeLimit.Seconds(), 2, true),
		serviceOf("archive"), serviceOf("orders"), serviceOf("artwork"), serviceOf("catalogue"), limitsOf(),
		tenantOf("club1", []string{lostKey}, 0, 0),
	}})
	var mu sync.Mutex
	var exchanges []*exchange
	record := func(x *exchange) {
		mu.Lock()
		exchanges = append(exchanges, x)
		mu.Unlock()
		s.log("%s from %s sent %.3f ended %.3f status %d complete %v error %v", x.id, x.from, x.sent.Sub(s.began).Seconds(), x.at.Sub(s.began).Seconds(), x.status, x.complete, x.err)
	}
	do := func(c *http.Client, n *Node, from, id, method, host, path, key string, left time.Duration) *exchange {
		x := &exchange{id: id, from: from, sent: time.Now()}
		x.deadline = x.sent.Add(min(left, routeLimit))
		ctx, cancel := context.WithTimeout(s.ctx, left+500*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Callers+path, nil)
		if err == nil {
			req.Host = host
			req.Header.Set("Attempt-Id", id)
			req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
			if key != "" {
				req.Header.Set("Authorization", "Bearer "+key)
			}
			var resp *http.Response
			if resp, err = c.Do(req); err == nil {
				x.status = resp.StatusCode
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
		}
		x.at, x.err, x.complete = time.Now(), err, err == nil
		record(x)
		return x
	}
	for i, t := range s.Targets {
		n := s.Nodes[i]
		calls := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		t.Serve = func(t *Target, w http.ResponseWriter, r *http.Request) bool {
			switch r.URL.Path {
			case "/serial/1":
				select {
				case <-time.After(checkWork):
				case <-r.Context().Done():
					return true
				}
			case "/order/1":
				ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
				end := time.Now().Add(time.Duration(ms) * time.Millisecond)
				select {
				case <-time.After(orderWork):
				case <-r.Context().Done():
					return true
				}
				x := do(calls, n, "target "+t.ID, r.Header.Get("Attempt-Id")+".1", "GET", "calls.example", "/serial/1", "", time.Until(end))
				if x.status != http.StatusOK {
					w.WriteHeader(http.StatusInternalServerError)
					return true
				}
			}
			return false
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	s.say("traffic starts")
	var wg sync.WaitGroup
	stop := make(chan struct{})
	out := map[*Node]*sync.Map{}
	for _, n := range s.Nodes {
		out[n] = &sync.Map{}
		wg.Go(func() {
			c := newClient()
			var inner sync.WaitGroup
			defer inner.Wait()
			tick := time.NewTicker(400 * time.Millisecond)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				if _, left := out[n].Load("out"); left {
					continue // the platform has taken the node out: its clients get no new work
				}
				inner.Go(func() {
					do(c, n, "client of "+n.Name, s.newID(), "POST", "press.example", "/order/1", lostKey, clientLimit)
				})
				inner.Go(func() {
					do(c, n, "client of "+n.Name, s.newID(), "GET", "press.example", "/history/1", lostKey, clientLimit)
				})
			}
		})
	}
	// The platform asks each node once a second whether it is ready. Two misses take it out.
	ready := make(chan struct{})
	for _, n := range s.Nodes {
		go func() {
			for misses := 0; ; {
				select {
				case <-ready:
					return
				case <-time.After(time.Second):
				}
				if n.isReady() {
					misses = 0
					out[n].Delete("out")
				} else if misses++; misses == 2 {
					out[n].Store("out", true)
				}
			}
		}()
	}
	time.Sleep(7 * time.Second)
	n := s.Nodes[1] // sidecar-bole-2, beside a target of service orders
	termAt := time.Now()
	if trouble {
		s.say("SIGTERM to %s", n.Name)
		n.signal(syscall.SIGTERM)
		n.mu.Lock()
		cmd := n.cmd
		n.mu.Unlock()
		ended := make(chan struct{})
		go func() { _ = cmd.Wait(); close(ended) }()
		select {
		case <-ended:
			s.say("%s ended by itself after %.3f s", n.Name, time.Since(termAt).Seconds())
		case <-time.After(graceS):
			s.say("SIGKILL to %s", n.Name)
			_ = cmd.Process.Kill()
			<-ended
		}
		n.mu.Lock()
		n.cmd = nil
		n.mu.Unlock()
		if err := n.start(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(graceS)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	close(ready)
	runs := map[string]*Run{}
	for _, r := range s.Runs.list() {
		runs[r.ID] = r
		s.log("run %s at %s from %.3f to %.3f", r.ID, r.Target, r.At.Sub(s.began).Seconds(), r.End.Sub(s.began).Seconds())
	}
	// Rule LOST around a SIGTERM of the machine that took the request.
	lost, late, answered := 0, 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, x := range exchanges {
		mine := x.from == "client of "+n.Name || x.from == "target "+s.Targets[1].ID
		run := runs[x.id]
		switch {
		case x.complete:
			answered++
		case run == nil || !mine || x.sent.After(termAt.Add(graceS+time.Second)) || x.at.Before(termAt):
			s.log("not counted %s: not passed on, or not around the planned work", x.id)
		case !x.at.Before(x.deadline):
			s.log("not counted %s: the deadline or the timeout of the route was reached", x.id)
		case !x.sent.After(termAt.Add(3*time.Second)) && x.at.After(termAt.Add(graceS*5/6)):
			late++ // still at work in the last sixth of GraceS, sent no later than 3 s after the SIGTERM
		default:
			lost++
			s.say("LOST: %s from %s, sent %.3f s after the SIGTERM, at work since %.3f s, connection ended after %.3f s without an answer (%.3f s before its deadline): %v",
				x.id, x.from, x.sent.Sub(termAt).Seconds(), run.At.Sub(termAt).Seconds(), x.at.Sub(termAt).Seconds(), x.deadline.Sub(x.at).Seconds(), x.err)
		}
	}
	s.say("%d requests answered, %d lost, %d excused (at work in the last sixth of GraceS)", answered, lost, late)
	return lost > 0, nil
}

func init() { cases["lost"] = lostCase }

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["stopped-node"] = stoppedNode
}

const innerHost = "inner7.example"

// call is a call that a target made.
type call struct {
	id       string
	at, done time.Time
	status   int
	err      error
}

// stoppedNode stops the node beside a target that goes on running. The runs of that target end with a
// call; the calls of a route usually take 0.3 s, those made after the signal take 2.4 s.
func stoppedNode(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	inner := routeOf("r-inner", innerHost, "/check/", "safe", "archive")
	inner["Spec"].(map[string]any)["AllowAnonymous"] = true
	inner["Spec"].(map[string]any)["TimeoutS"] = 6
	doc := pressConfig(4, inner)
	doc["Resources"].([]map[string]any)[0]["Spec"].(map[string]any)["TimeoutS"] = 6
	s, err := startPress(ctx, root, rec, func(s *site) { s.store.putConfig(doc) })
	if err != nil {
		return false, err
	}
	defer s.stop()
	m := s.machines[0]
	var mu sync.Mutex
	var calls []call
	path := "/check/usual"
	m.target.work = 20 * time.Millisecond
	m.target.inner = func(id string) {
		mu.Lock()
		p, wait := path, time.Duration(0)
		if p != "/check/usual" {
			wait = 1800 * time.Millisecond // the run works before it makes its call
		}
		mu.Unlock()
		time.Sleep(wait)
		c := call{id: id + ".1", at: time.Now()}
		req, _ := http.NewRequest(http.MethodGet, "http://"+m.outbound+p, nil)
		req.Host = innerHost
		req.Header.Set("Attempt-Id", c.id)
		req.Header.Set("Deadline-Ms", "6000")
		resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
		c.err = err
		if err == nil {
			c.status = resp.StatusCode
			_ = resp.Body.Close()
		}
		c.done = time.Now()
		mu.Lock()
		defer mu.Unlock()
		if p != "/check/usual" {
			calls = append(calls, c)
		}
	}
	for _, x := range s.machines[3:] {
		x.target.workOf = map[string]time.Duration{"/check/usual": 300 * time.Millisecond, "/check/long": 2400 * time.Millisecond}
	}
	order := func(x *machine) answer {
		return send(ctx, x, http.MethodPost, ordersHost, "/puka111/2f", 6*time.Second)
	}
	if share := measure(rec, "usual orders", s.machines, 5*time.Second, order); share < 0.95 {
		return false, fmt.Errorf("only %.2f were served", share)
	}
	mu.Lock()
	path = "/check/long"
	mu.Unlock()
	stopped := time.Now()
	if trouble {
		if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		rec.add("SIGTERM of the node of %s; its target goes on running", m.name)
	}
	// Orders of other machines; those that arrive before the node refuses calls run at its target.
	time.Sleep(1300 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			a := order(s.machines[1+i%5])
			rec.add("order %s sent %.2f s after the beginning to %s: %d after %.2f s", a.id, a.at.Sub(stopped).Seconds(), a.machine, a.status, a.took.Seconds())
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	if trouble {
		select {
		case <-m.ended:
			rec.add("the node has ended by itself")
		case <-time.After(time.Until(stopped.Add(time.Duration(graceS * float64(time.Second))))):
			m.stopNode()
			rec.add("the node was killed after GraceS")
		}
		m.mu.Lock()
		m.cmd, m.ended = nil, nil
		m.mu.Unlock()
	}
	time.Sleep(time.Second)
	runs := map[string]run{}
	for _, x := range s.machines[3:] {
		for _, r := range x.target.allRuns() {
			runs[r.id] = r
		}
	}
	lost, passed := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, c := range calls {
		sent := c.at.Sub(stopped)
		r, ran := runs[c.id]
		if !ran {
			rec.add("call %s sent %.2f s after the beginning: not passed on, %d %v", c.id, sent.Seconds(), c.status, c.err)
			continue
		}
		passed++
		note := ""
		// Not counted: requests sent no later than 3 s after the SIGTERM, and those whose deadline and
		// timeout (6 s each) were reached.
		if c.status != http.StatusOK && sent > 3*time.Second && c.done.Sub(c.at) < 5900*time.Millisecond && r.cut {
			lost++
			note = ", lost"
		}
		rec.add("call %s sent %.2f s after the beginning ran at a target, broken off: %v; %d %v after %.2f s%s",
			c.id, sent.Seconds(), r.cut, c.status, c.err, c.done.Sub(c.at).Seconds(), note)
	}
	rec.add("calls made: %d, passed on to a target: %d, of these broken off while their target was at work: %d", len(calls), passed, lost)
	if passed == 0 {
		return false, fmt.Errorf("no call was passed on")
	}
	return lost > 0, nil
}

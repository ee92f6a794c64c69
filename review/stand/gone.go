package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// goneCase lets clients leave that have sent further safe requests before the first one was
// answered.
func goneCase(s *Site, trouble bool) (bool, error) {
	const work = 1500 * time.Millisecond
	press(s, work)
	s.Store.PutConfig(document{Version: 3, Resources: []resource{
		routeOf("history", "press.example", "/history/", "safe", "archive", 8, 2, true),
		serviceOf("archive"), serviceOf("orders"), serviceOf("artwork"), serviceOf("catalogue"), limitsOf(),
	}})
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	var mu sync.Mutex
	left := map[string]time.Time{}
	answered := 0
	var wg sync.WaitGroup
	for i := range 39 {
		wg.Go(func() {
			n := s.Nodes[i%len(s.Nodes)]
			c, err := net.Dial("tcp", n.Callers)
			if err != nil {
				s.log("no connection to %s: %v", n.Name, err)
				return
			}
			defer c.Close()
			var ids []string
			for k, pause := range []time.Duration{0, 100 * time.Millisecond, 50 * time.Millisecond} {
				time.Sleep(pause)
				id := s.newID()
				ids = append(ids, id)
				fmt.Fprintf(c, "GET /history/%d HTTP/1.1\r\nHost: press.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 6000\r\n\r\n", k, id)
				s.log("client %d sent %s through %s", i, id, n.Name)
			}
			time.Sleep(200 * time.Millisecond)
			if trouble {
				_ = c.Close()
				mu.Lock()
				for _, id := range ids {
					left[id] = time.Now()
				}
				mu.Unlock()
				s.log("client %d left", i)
				return
			}
			r := bufio.NewReader(c)
			for range ids {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(7 * time.Second)
	late, still, long := 0, 0, 0
	for _, r := range s.Runs.list() {
		at, ok := left[r.ID]
		s.log("run %s at %s from %.3f to %.3f, client left at %.3f", r.ID, r.Target, r.At.Sub(s.began).Seconds(), r.End.Sub(s.began).Seconds(), at.Sub(s.began).Seconds())
		limit := at.Add(500 * time.Millisecond)
		switch {
		case !ok:
		case r.At.After(limit):
			late++
		case r.At.Add(work).After(limit):
			long++ // would have lasted so long
			if r.End.After(limit) {
				still++
			}
		}
	}
	s.say("%d requests answered; of %d that would have lasted longer, targets were still at work on %d half a second after the client had left; %d reached a target later than that", answered, long, still, late)
	if !trouble && answered < 100 || trouble && long+late < 20 {
		return false, fmt.Errorf("too few requests ran")
	}
	return late > 5 || still*4 > long, nil
}

func init() { cases["gone"] = goneCase }

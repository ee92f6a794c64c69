package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// countingConn counts the bytes that a client has received.
type countingConn struct {
	net.Conn
	n int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n += n
	return n, err
}

// streamCase kills one node while its target answers with a head at once and a body later.
func streamCase(s *Site, trouble bool) (bool, error) {
	const work = 1200 * time.Millisecond
	press(s, work)
	s.Store.PutConfig(document{Version: 3, Resources: []resource{
		routeOf("history", "press.example", "/history/", "safe", "archive", 5, 2, true),
		serviceOf("archive"), serviceOf("orders"), serviceOf("artwork"), serviceOf("catalogue"), limitsOf(),
	}})
	for _, t := range s.Targets {
		t.Serve = func(t *Target, w http.ResponseWriter, r *http.Request) bool {
			answer := []byte("run of " + r.Header.Get("Attempt-Id") + " at " + t.ID + "\n")
			sum := sha256.Sum256(answer)
			w.Header().Set("Response-Signature", hex.EncodeToString(sum[:8]))
			w.(http.Flusher).Flush() // the head of an answer without a length
			select {
			case <-time.After(work):
				_, _ = w.Write(answer)
			case <-r.Context().Done():
			}
			return true
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	s.say("traffic starts")
	victim := s.Nodes[0] // sidecar-bole-1, beside a target of service archive
	var mu sync.Mutex
	type end struct {
		id, node string
		first    bool // the first request of its connection
		sent, at time.Time
		bytes    int
		err      error
	}
	var ends []end
	answered, refused := 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range s.Nodes[1:] {
		if n.Service == "archive" {
			continue // the clients' machines have no part in the disruption, nor their targets
		}
		for range 8 {
			wg.Go(func() {
				var c *countingConn
				var r *bufio.Reader
				first := true
				for {
					select {
					case <-stop:
						if c != nil {
							_ = c.Close()
						}
						return
					default:
					}
					if c == nil {
						d, err := net.Dial("tcp", n.Callers)
						if err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
						c = &countingConn{Conn: d}
						r, first = bufio.NewReader(c), true
					}
					id := s.newID()
					c.n = 0
					sent := time.Now()
					_, err := fmt.Fprintf(c, "GET /history/1 HTTP/1.1\r\nHost: press.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", id)
					status, closes := 0, false
					if err == nil {
						var resp *http.Response
						if resp, err = http.ReadResponse(r, nil); err == nil {
							_, err = io.ReadAll(resp.Body)
							status, closes = resp.StatusCode, resp.Close
						}
					}
					s.log("%s through %s sent %.3f status %d bytes %d error %v", id, n.Name, sent.Sub(s.began).Seconds(), status, c.n, err)
					mu.Lock()
					switch {
					case err != nil:
						ends = append(ends, end{id, n.Name, first, sent, time.Now(), c.n, err})
					case status == http.StatusOK:
						answered++
					default:
						refused++
					}
					mu.Unlock()
					first = false
					if err != nil || closes {
						_ = c.Close()
						c = nil
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(8 * time.Second)
	killAt := time.Now()
	if trouble {
		s.say("kill %s", victim.Name)
		victim.kill()
		time.Sleep(300 * time.Millisecond)
		if err := victim.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	runs := map[string]*Run{}
	for _, r := range s.Runs.list() {
		runs[r.ID] = r
		s.log("run %s at %s from %.3f", r.ID, r.Target, r.At.Sub(s.began).Seconds())
	}
	lost := 0
	for _, e := range ends {
		run := runs[e.id]
		if run == nil || e.first {
			s.log("not counted: %s, passed on %v, first of its connection %v", e.id, run != nil, e.first)
			continue
		}
		s.say("%s through %s: passed on to %s, connection closed %.3f s after the kill with %d bytes of an answer: %v", e.id, e.node, run.Target, e.at.Sub(killAt).Seconds(), e.bytes, e.err)
		if e.bytes == 0 {
			lost++
		}
	}
	s.say("%d requests answered, %d refused or failed with an answer, %d passed on from a kept connection that was closed without an answer", answered, refused, lost)
	if answered < 100 {
		return false, fmt.Errorf("too few requests were answered")
	}
	return lost > 3, nil
}

func init() { cases["stream"] = streamCase }

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() {
	cases["added-route"] = addedRoute
	cases["left-pipeline"] = leftPipeline
}

// addedRoute adds a route whose prefix is that of another one and one segment more, and asks for the
// path without the slash at its end, which only the older route's prefix begins.
func addedRoute(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	s, err := startPress(ctx, root, rec, nil)
	if err != nil {
		return false, err
	}
	defer s.stop()
	ask := func(i int) answer {
		return send(ctx, s.machines[i%len(s.machines)], http.MethodGet, archiveHost, "/leny950/2f", 5*time.Second)
	}
	for i := range 30 {
		if a := ask(i); !a.good() {
			return false, fmt.Errorf("not served before: %+v", a)
		}
	}
	rec.add("30 requests for /leny950/2f were served under the route with the prefix /leny950/")
	prefix := "/leny950/2f/"
	if !trouble {
		prefix = "/other/2f/"
	}
	acked := s.store.putConfig(pressConfig(5, routeOf("r-added", archiveHost, prefix, "safe", "archive")))
	rec.add("a version that adds a route with the prefix %s is acknowledged", prefix)
	time.Sleep(time.Until(acked.Add(2 * configS * time.Second)))
	const total = 200
	statuses := map[int]int{}
	for i := range total {
		a := ask(i)
		statuses[a.status]++
		if !a.good() {
			rec.add("%s, sent %.1f s after the acknowledgement to %s: %d %q", a.id, a.at.Sub(acked).Seconds(), a.machine, a.status, a.body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	inner := send(ctx, s.machines[0], http.MethodGet, archiveHost, prefix+"1", 5*time.Second)
	rec.add("a request for %s1: %d", prefix, inner.status)
	if !inner.good() {
		return false, fmt.Errorf("the added route is not in force: %+v", inner)
	}
	rec.add("answers to %d proper requests for /leny950/2f, by status: %v", total, statuses)
	refused := statuses[http.StatusNotFound]
	return refused > 5+total/500, nil
}

// leftPipeline sends safe requests from clients that leave after 300 ms. Each second one has sent a
// further request behind the first. A run would last 1.5 s.
func leftPipeline(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	s, err := startPress(ctx, root, rec, nil)
	if err != nil {
		return false, err
	}
	defer s.stop()
	for _, m := range s.machines[3:] {
		m.target.work = 1500 * time.Millisecond
	}
	const clients = 60
	left := map[string]time.Time{} // when the client of a request has left
	pipelined := map[string]bool{}
	for i := range clients {
		m := s.machines[i%len(s.machines)]
		conn, err := net.Dial("tcp", m.outbound)
		if err != nil {
			return false, err
		}
		first := writeRequest(conn)
		// With TROUBLE=0 the clients leave as well, but none sends a further request.
		if trouble && i/len(s.machines)%2 == 0 {
			pipelined[first] = true
			time.AfterFunc(100*time.Millisecond, func() { writeRequest(conn) })
		}
		left[first] = time.Now().Add(300 * time.Millisecond)
		time.AfterFunc(300*time.Millisecond, func() { _ = conn.Close() })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	atWork, total := 0, 0
	for _, m := range s.machines[3:] {
		for _, r := range m.target.allRuns() {
			at, ok := left[r.id]
			if !ok {
				continue
			}
			total++
			since := r.endedAt.Sub(at)
			rec.add("%s (further request behind it: %v): its run ended %.3f s after its client had left, broken off: %v", r.id, pipelined[r.id], since.Seconds(), r.cut)
			if since > 500*time.Millisecond {
				atWork++
			}
		}
	}
	rec.add("of %d requests whose clients left, targets were still at work half a second later on %d; a quarter is the most", total, atWork)
	if total < clients/2 {
		return false, fmt.Errorf("only %d of %d requests ran", total, clients)
	}
	return 4*atWork > total, nil
}

// writeRequest writes a safe request to a connection and returns its identifier.
func writeRequest(conn net.Conn) string {
	id := newID()
	_, _ = fmt.Fprintf(conn, "GET /leny950/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n\r\n", archiveHost, id, key)
	return id
}

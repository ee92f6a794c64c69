package main

import (
	"bufio"
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

// addedRoute adds a route whose prefix is one segment longer than that of another.
func addedRoute(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	s, err := startPress(ctx, root, rec, nil)
	if err != nil {
		return false, err
	}
	defer s.stop()
	ask := func() answer {
		return send(ctx, s.machines[3], http.MethodGet, archiveHost, "/leny950/2f", 5*time.Second)
	}
	a := ask()
	rec.add("before: %d", a.status)
	if !a.good() {
		return false, fmt.Errorf("not served: %+v", a)
	}
	if trouble {
		s.store.putConfig(pressConfig(5, routeOf("r-added", archiveHost, "/leny950/2f/", "safe", "archive")))
	}
	acked := time.Now()
	time.Sleep(4 * time.Second)
	bad := 0
	for range 20 {
		a := ask()
		rec.add("%.1f s after the acknowledgement: %d %q", time.Since(acked).Seconds(), a.status, a.body)
		if a.status == 404 {
			bad++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return bad > 0, nil
}

// leftPipeline sends two safe requests on each connection, the second before the answer to the first,
// and leaves.
func leftPipeline(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	s, err := startPress(ctx, root, rec, func(s *site) {})
	if err != nil {
		return false, err
	}
	defer s.stop()
	for _, m := range s.machines[3:] {
		m.target.work = 1500 * time.Millisecond
	}
	left := map[string]time.Time{}
	for i := range 30 {
		m := s.machines[i%3]
		conn, err := net.Dial("tcp", m.outbound)
		if err != nil {
			return false, err
		}
		first, second := newID(), newID()
		fmt.Fprintf(conn, "GET /leny950/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n\r\n", archiveHost, first, key)
		time.Sleep(50 * time.Millisecond)
		if trouble || i%2 == 0 {
			fmt.Fprintf(conn, "GET /leny950/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n\r\n", archiveHost, second, key)
		}
		go func() {
			if trouble {
				time.Sleep(200 * time.Millisecond)
				_ = conn.Close()
				return
			}
			_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
			time.Sleep(3 * time.Second)
			_ = conn.Close()
		}()
		left[first], left[second] = time.Now().Add(200*time.Millisecond), time.Now().Add(200*time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	reached, atWork, total := 0, 0, 0
	for _, m := range s.machines[3:] {
		for _, r := range m.target.allRuns() {
			at, ok := left[r.id]
			if !ok {
				continue
			}
			total++
			if r.at.Sub(at) > 500*time.Millisecond {
				reached++
				rec.add("%s reached a target %.3f s after its client left", r.id, r.at.Sub(at).Seconds())
			}
			if r.endedAt.Sub(at) > 500*time.Millisecond {
				atWork++
			}
		}
	}
	rec.add("runs %d, reached a target over 0.5 s late %d, at work over 0.5 s after %d", total, reached, atWork)
	return trouble && (reached > 3 || atWork > total/4), nil
}

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["added-route"] = addedRoute
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

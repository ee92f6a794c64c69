package main

import (
	"fmt"
	"time"
)

// queryCase sends reads whose query has a parameter that the node takes for an API key.
func queryCase(s *Site, trouble bool) (bool, error) {
	press(s, 5*time.Millisecond)
	const key = "key-of-club-1-0123456789"
	s.Store.PutConfig(document{Version: 3, Resources: []resource{
		routeOf("history", "press.example", "/history/", "safe", "archive", 5, 2, false),
		routeOf("print-order", "press.example", "/order/", "unsafe", "orders", 5, 2, false),
		serviceOf("archive"), serviceOf("orders"), serviceOf("artwork"), serviceOf("catalogue"), limitsOf(),
		tenantOf("club1", []string{key}, 0, 0),
	}})
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	names := []string{"serial", "page", "hall", "id"}
	if trouble {
		names = []string{"key", "api_key", "access_token", "Key"}
	}
	sent := map[string]string{}
	c := newClient()
	for i := range 40 {
		n := s.Nodes[i%len(s.Nodes)]
		id := s.newID()
		method, path, body := "GET", "/history/", []byte(nil)
		if i%2 == 1 {
			method, path, body = "POST", "/order/", []byte("200 stubs")
		}
		path += fmt.Sprintf("list?from=1&%s=A-%d&sort=asc", names[i/2%len(names)], i)
		sent[id] = method + " " + path
		a := s.send(c, n, id, method, "press.example", path, key, body, 3*time.Second)
		s.log("sent %s: %s %s through %s, answered %d", id, method, path, n.Name, a.Status)
	}
	changed, ran := 0, 0
	for _, r := range s.Runs.list() {
		got := r.Method + " " + r.URI
		s.log("run %s at %s: %s", r.ID, r.Target, got)
		ran++
		if want, ok := sent[r.ID]; !ok || want != got {
			changed++
			s.log("UNASKED %s: sent %q, run %q", r.ID, want, got)
		}
	}
	s.say("%d requests sent, %d run, %d run with another query than was sent", len(sent), ran, changed)
	if ran < len(sent)/2 {
		return false, fmt.Errorf("too few requests ran")
	}
	return changed > 0, nil
}

func init() { cases["query"] = queryCase }

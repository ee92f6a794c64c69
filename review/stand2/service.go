package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() {
	cases["other-service"] = otherService
}

const innerHost = "inner7.example"

// otherService lets the address of a target go to a target of another service. The settings of the
// machine change with it, and SIGHUP says so. The new target makes calls.
func otherService(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	inner := routeOf("r-inner", innerHost, "/check/", "safe", "archive")
	inner["Spec"].(map[string]any)["AllowAnonymous"] = true
	s, err := startPress(ctx, root, rec, func(s *site) {
		s.store.putConfig(pressConfig(4, inner))
	})
	if err != nil {
		return false, err
	}
	defer s.stop()
	m := s.machines[3]
	if _, _, err := leaveAndExit(rec, m.target, 3*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond) // longer than ReuseAfterS
	if trouble {
		m.service = "orders"
	}
	if err := os.WriteFile(filepath.Join(s.dir, m.name+".toml"), []byte(m.settings()), 0o600); err != nil {
		return false, err
	}
	if err := m.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return false, err
	}
	rec.add("the settings of %s name the service %s; SIGHUP", m.name, m.service)
	t := newTarget(m, "i-second")
	called := 0
	t.inner = func(id string) {
		req, _ := http.NewRequest(http.MethodGet, "http://"+m.outbound+"/check/1", nil)
		req.Host = innerHost
		req.Header.Set("Attempt-Id", id+".1")
		req.Header.Set("Deadline-Ms", "2000")
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	m.target = t
	if err := t.start(); err != nil {
		return false, err
	}
	rec.add("%s of service %s starts at %s", t.id, m.service, m.app)
	time.Sleep(5 * time.Second) // longer than StabilityWindowS
	host, path, method := ordersHost, "/puka111/2f", http.MethodPost
	if !trouble {
		host, path, method = archiveHost, "/leny950/2f", http.MethodGet
	}
	for range 40 {
		a := send(ctx, s.machines[1], method, host, path, 5*time.Second)
		rec.add("request %s from %s: %d", a.id, s.machines[1].name, a.status)
	}
	wrong := 0
	for _, x := range s.machines {
		for _, r := range x.target.allRuns() {
			if r.path != "/check/1" {
				continue
			}
			called++
			rec.add("call %s, made by %s of service %s, ran at %s with Caller-Service %s", r.id, t.id, m.service, x.target.id, r.caller)
			if r.caller != m.service {
				wrong++
			}
		}
	}
	rec.add("calls made by the new target that ran: %d, with the Caller-Service of another service: %d", called, wrong)
	if called == 0 {
		return false, fmt.Errorf("the new target made no call")
	}
	return wrong > 0, nil
}

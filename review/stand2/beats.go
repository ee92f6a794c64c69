package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"time"
)

func init() {
	cases["late-heartbeats"] = lateHeartbeats
	cases["other-writer"] = otherWriter
}

// pressPlaces is a small deployment of two services in three zones.
var pressPlaces = []string{"bole orders", "kirkos orders", "arada orders", "bole archive", "kirkos archive", "arada archive"}

const (
	ordersHost  = "jepu9.example"
	archiveHost = "hulo84.example"
)

func routeOf(name, host, prefix, kind, service string) map[string]any {
	return map[string]any{"EntryKind": "Routes", "Metadata": map[string]any{"Name": name}, "Spec": map[string]any{
		"Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutS": 5, "LatencyGoalS": 1.5, "Priority": 0, "Service": service,
		"MaxAttempts": 2, "AllowAnonymous": false,
	}}
}

func pressConfig(version int, more ...map[string]any) map[string]any {
	resources := []map[string]any{
		routeOf("r-orders", ordersHost, "/puka111/", "unsafe", "orders"),
		routeOf("r-archive", archiveHost, "/leny950/", "safe", "archive"),
	}
	for _, s := range []string{"orders", "archive"} {
		resources = append(resources, map[string]any{"EntryKind": "Services", "Metadata": map[string]any{"Name": s}, "Spec": map[string]any{
			"HealthPath": "/healthz", "MaxConnections": 472, "Protocol": "h1", "Tls": false,
		}})
	}
	resources = append(resources, more...)
	resources = append(resources,
		map[string]any{"EntryKind": "Tenants", "Metadata": map[string]any{"Name": "pulo780"}, "Spec": map[string]any{
			"ApiKeys": []string{key}, "Priority": 1, "RatePerS": 0, "Burst": 0,
		}},
		map[string]any{"EntryKind": "Limits", "Metadata": map[string]any{}, "Spec": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15,
		}})
	return map[string]any{"Version": version, "Resources": resources}
}

// startPress starts the deployment and waits until orders are served from each machine.
func startPress(ctx context.Context, root string, rec *record, prepare func(s *site)) (*site, error) {
	s, err := newSite(root, rec, pressPlaces)
	if err != nil {
		return nil, err
	}
	s.store.putConfig(pressConfig(3))
	if prepare != nil {
		prepare(s)
	}
	if err := s.start(ctx, s.machines); err != nil {
		s.stop()
		return nil, err
	}
	for _, m := range s.machines {
		for {
			a := send(ctx, m, http.MethodPost, ordersHost, "/puka111/warm", 2*time.Second)
			if a.good() {
				break
			}
			if ctx.Err() != nil {
				s.stop()
				return nil, fmt.Errorf("%s serves nothing: %+v", m.name, a)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	rec.add("the deployment serves")
	return s, nil
}

// orderTraffic sends print orders from the machines of the archive for a time.
func orderTraffic(ctx context.Context, s *site) (stop func() []answer) {
	ctx, cancel := context.WithCancel(ctx)
	tr := &traffic{}
	tr.run(ctx, s.machines[3:], 25*time.Millisecond, func(m *machine) answer {
		return send(context.WithoutCancel(ctx), m, http.MethodPost, ordersHost, "/puka111/2f", 5*time.Second)
	})
	return func() []answer {
		cancel()
		tr.wg.Wait()
		return tr.answers
	}
}

// judgeDrain records which requests reached a target later than DrainS after an acknowledgement, and
// what became of them. It reports whether there were any.
func judgeDrain(rec *record, t *target, acked, exited time.Time, answers []answer) bool {
	byID := map[string]answer{}
	for _, a := range answers {
		byID[a.id] = a
	}
	late, lost := 0, 0
	for _, r := range t.allRuns() {
		since := r.at.Sub(acked)
		if since <= time.Duration(drainS*float64(time.Second)) {
			continue
		}
		late++
		a := byID[r.id]
		note := ""
		if r.exited {
			lost++
			note = ", broken off by the exit of the target"
		}
		rec.add("request %s sent %.3f s after the acknowledgement from %s reached %s %.3f s after it: answer %d %v%s",
			r.id, a.at.Sub(acked).Seconds(), a.machine, t.id, since.Seconds(), a.status, a.err, note)
	}
	statuses := map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
	}
	var keys []int
	for k := range statuses {
		keys = append(keys, k)
	}
	sort.Ints(keys)
	for _, k := range keys {
		rec.add("answers with status %d: %d", k, statuses[k])
	}
	rec.add("the target ended %.3f s after the acknowledgement", exited.Sub(acked).Seconds())
	rec.add("requests that reached it later than DrainS (%.0f s) after the acknowledgement: %d, of these broken off by its exit: %d", drainS, late, lost)
	return late > 0
}

// leaveAndExit lets a target leave as those do that never report draining: it deregisters, serves on
// for DrainS and a little longer, and exits.
func leaveAndExit(rec *record, t *target, serveOn time.Duration) (acked, exited time.Time, err error) {
	t.silent.Store(true)
	t.state.Store("leaving")
	status, err := t.call("/Instances.Deregister/"+t.id, map[string]any{"born": t.born.UnixMilli()})
	if err != nil || status != http.StatusOK {
		return acked, exited, fmt.Errorf("deregistration: %d %v", status, err)
	}
	acked = time.Now()
	rec.add("deregistration of %s acknowledged", t.id)
	time.Sleep(serveOn)
	t.exit()
	exited = time.Now()
	rec.add("%s exits", t.id)
	return acked, exited, nil
}

// lateHeartbeats replaces a target and takes the new one away again 5 s later, with a deregistration
// and no report of draining. Its last two heartbeats arrive after the deregistration.
func lateHeartbeats(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	s, err := startPress(ctx, root, rec, nil)
	if err != nil {
		return false, err
	}
	defer s.stop()
	m := s.machines[0]
	if _, _, err := leaveAndExit(rec, m.target, 3*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond) // longer than ReuseAfterS
	t := newTarget(m, "i-second")
	t.work = 300 * time.Millisecond
	if trouble {
		t.delay = func(seq int64) time.Duration {
			switch seq {
			case 3: // sent 3.0 s after the start
				return 3500 * time.Millisecond
			case 4: // sent 4.5 s after the start
				return 2200 * time.Millisecond
			}
			return 0
		}
	}
	m.target = t
	if err := t.start(); err != nil {
		return false, err
	}
	rec.add("%s starts", t.id)
	stop := orderTraffic(ctx, s)
	time.Sleep(time.Until(t.born.Add(5 * time.Second)))
	acked, exited, err := leaveAndExit(rec, t, 6*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	answers := stop()
	if n := len(t.allRuns()); n == 0 {
		return false, fmt.Errorf("%s got no request", t.id)
	}
	if ended := s.endedNodes(); len(ended) > 0 {
		return false, fmt.Errorf("nodes ended: %v", ended)
	}
	return judgeDrain(rec, t, acked, exited, answers), nil
}

// otherWriter lets a heartbeat of another writer arrive that names a target and lacks a field, and the
// target drain 2 s later.
func otherWriter(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	s, err := startPress(ctx, root, rec, nil)
	if err != nil {
		return false, err
	}
	defer s.stop()
	t := s.machines[0].target
	t.work = 300 * time.Millisecond
	stop := orderTraffic(ctx, s)
	time.Sleep(2 * time.Second)
	if trouble {
		odd := t.heartbeat(1_000_000, "ready")
		delete(odd, "Version")
		delete(odd, "Zone")
		status, err := t.call("/Instances.Heartbeat/"+t.id, odd)
		rec.add("heartbeat of another writer for %s without Version and Zone: %d %v", t.id, status, err)
	}
	time.Sleep(2 * time.Second)
	t.silent.Store(true)
	t.state.Store("draining")
	status, err := t.call("/Instances.Heartbeat/"+t.id, t.heartbeat(t.seq.Add(1), "draining"))
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("draining: %d %v", status, err)
	}
	acked := time.Now()
	rec.add("draining of %s acknowledged", t.id)
	t.silent.Store(false) // says draining in each further heartbeat
	time.Sleep(3500 * time.Millisecond)
	status, err = t.call("/Instances.Deregister/"+t.id, map[string]any{"born": t.born.UnixMilli()})
	rec.add("deregistration of %s: %d %v", t.id, status, err)
	t.exit()
	exited := time.Now()
	time.Sleep(time.Second)
	answers := stop()
	return judgeDrain(rec, t, acked, exited, answers), nil
}

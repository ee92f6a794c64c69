package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["release"] = release
}

const recoverS = 15

// limited sets the rate and the burst of the tenant in a configuration.
func limited(doc map[string]any, rate, burst int) map[string]any {
	for _, r := range doc["Resources"].([]map[string]any) {
		if r["EntryKind"] == "Tenants" {
			spec := r["Spec"].(map[string]any)
			spec["RatePerS"], spec["Burst"] = rate, burst
		}
	}
	return doc
}

// release replaces all machines of the deployment, zone by zone, as planned: the new machines start
// first, at new addresses; then the old targets drain, deregister and exit, and their nodes get SIGTERM.
// Then all processes are killed and start again.
func release(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	zones := []string{"bole", "kirkos", "arada"}
	var places []string
	for range 2 { // the old machines, then the new ones
		for _, z := range zones {
			places = append(places, z+" orders", z+" archive", z+" orders")
		}
	}
	s, err := newSite(root, rec, places)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.store.putConfig(limited(pressConfig(3), 63, 63))
	perZone := len(places) / 2 / len(zones)
	use, spare := s.machines[:len(places)/2], s.machines[len(places)/2:]
	if err := s.start(ctx, use); err != nil {
		return false, err
	}
	order := func(m *machine) answer {
		return send(ctx, m, http.MethodPost, ordersHost, "/puka111/2f", 5*time.Second)
	}
	time.Sleep(10 * time.Second) // the zones agree on their members in the first seconds
	before := measure(rec, "before", use, 5*time.Second, order)
	if before < 0.9 {
		return false, fmt.Errorf("only %.2f were served before", before)
	}
	if trouble {
		for i, z := range zones {
			if err := s.replace(ctx, use[i*perZone:(i+1)*perZone], spare[i*perZone:(i+1)*perZone]); err != nil {
				return false, err
			}
			rec.add("zone %s is released: %d machines were replaced", z, perZone)
		}
		use = spare
		time.Sleep(5 * time.Second)
		measure(rec, "after the release", use, 3*time.Second, order)
	}
	for _, m := range use {
		m.stopNode()
	}
	rec.add("final fault: all processes of the system are killed (%d machines)", len(use))
	time.Sleep(1200 * time.Millisecond)
	for _, m := range use {
		if err := m.startNode(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	rec.add("the machines are back")
	for _, m := range use {
		for !m.isReady() {
			if ctx.Err() != nil {
				return false, fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	measure(rec, "in the first seconds after that", use, 4*time.Second, order)
	time.Sleep(time.Until(back.Add((recoverS + 1) * time.Second)))
	share := measure(rec, "later than RecoverS after that", use, 10*time.Second, order)
	return share < 0.25, nil
}

// replace starts new machines, and lets old ones leave once the new ones are ready.
func (s *site) replace(ctx context.Context, old, next []*machine) error {
	if err := s.start(ctx, next); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for _, m := range old {
		m.target.state.Store("draining")
		if status, err := m.target.call("/Instances.Heartbeat/"+m.target.id, m.target.heartbeat(m.target.seq.Add(1), "draining")); err != nil || status != http.StatusOK {
			return fmt.Errorf("draining: %d %v", status, err)
		}
	}
	time.Sleep(2500 * time.Millisecond) // DrainS and a little longer
	for _, m := range old {
		if status, err := m.target.call("/Instances.Deregister/"+m.target.id, map[string]any{"born": m.target.born.UnixMilli()}); err != nil || status != http.StatusOK {
			return fmt.Errorf("deregistration: %d %v", status, err)
		}
		m.target.exit()
		if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, m := range old {
		select {
		case <-m.ended:
			s.rec.add("%s is gone: its target drained and exited, its node ended after SIGTERM", m.name)
		case <-time.After(time.Duration(graceS * float64(time.Second))):
			m.stopNode()
			s.rec.add("%s is gone: its node was killed after GraceS", m.name)
		}
		m.mu.Lock()
		m.cmd, m.ended = nil, nil
		m.mu.Unlock()
	}
	return nil
}

// measure sends 20 orders a second for a time and returns the share that was served.
func measure(rec *record, when string, machines []*machine, d time.Duration, one func(m *machine) answer) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	tr := &traffic{}
	tr.run(ctx, machines, 50*time.Millisecond, one)
	tr.wg.Wait()
	served := 0
	statuses := map[int]int{}
	for _, a := range tr.answers {
		statuses[a.status]++
		if a.good() {
			served++
		}
	}
	rec.add("%s: %d of %d requests were served; answers by status: %v", when, served, len(tr.answers), statuses)
	return float64(served) / float64(max(1, len(tr.answers)))
}

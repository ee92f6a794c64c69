package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["majority-leaves"] = majorityLeaves
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

// majorityLeaves takes two of the three machines of each zone away, as planned: their targets drain,
// deregister and exit, and their nodes get SIGTERM. Then all processes that are left are killed and
// start again.
func majorityLeaves(ctx context.Context, root string, rec *record, trouble bool) (bool, error) {
	var places []string
	for _, z := range []string{"bole", "kirkos", "arada"} {
		places = append(places, z+" orders", z+" archive", z+" orders")
	}
	s, err := newSite(root, rec, places)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.store.putConfig(limited(pressConfig(3), 63, 63))
	if err := s.start(ctx, s.machines); err != nil {
		return false, err
	}
	stay := []*machine{s.machines[2], s.machines[5], s.machines[8]}
	order := func(m *machine) answer {
		return send(ctx, m, http.MethodPost, ordersHost, "/puka111/2f", 5*time.Second)
	}
	// The zones agree on their members in the first seconds.
	time.Sleep(12 * time.Second)
	before := measure(rec, "before", stay, 5*time.Second, order)
	if before < 0.9 {
		return false, fmt.Errorf("only %.2f were served before", before)
	}
	if trouble {
		for i, m := range s.machines {
			if i%3 == 2 {
				continue
			}
			m.target.state.Store("draining")
			if status, err := m.target.call("/Instances.Heartbeat/"+m.target.id, m.target.heartbeat(m.target.seq.Add(1), "draining")); err != nil || status != http.StatusOK {
				return false, fmt.Errorf("draining: %d %v", status, err)
			}
		}
		time.Sleep(2500 * time.Millisecond) // DrainS and a little longer
		for i, m := range s.machines {
			if i%3 == 2 {
				continue
			}
			_, _ = m.target.call("/Instances.Deregister/"+m.target.id, map[string]any{"born": m.target.born.UnixMilli()})
			m.target.exit()
			if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				return false, err
			}
		}
		for i, m := range s.machines {
			if i%3 == 2 {
				continue
			}
			select {
			case <-m.ended:
				rec.add("%s is gone: its target drained and exited, its node ended after SIGTERM", m.name)
			case <-time.After(time.Duration(graceS * float64(time.Second))):
				m.stopNode()
				rec.add("%s is gone: its node was killed after GraceS", m.name)
			}
			m.mu.Lock()
			m.cmd, m.ended = nil, nil
			m.mu.Unlock()
		}
		time.Sleep(5 * time.Second)
		measure(rec, "after the machines have left", stay, 3*time.Second, order)
	}
	var left []*machine
	for i, m := range s.machines {
		if !trouble || i%3 == 2 {
			left = append(left, m)
		}
	}
	for _, m := range left {
		m.stopNode()
	}
	rec.add("final fault: all processes of the system are killed (%d machines)", len(left))
	time.Sleep(1200 * time.Millisecond)
	for _, m := range left {
		if err := m.startNode(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	rec.add("the machines are back")
	for _, m := range left {
		for !m.isReady() {
			if ctx.Err() != nil {
				return false, fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	measure(rec, "in the first seconds after that", stay, 4*time.Second, order)
	time.Sleep(time.Until(back.Add((recoverS + 1) * time.Second)))
	share := measure(rec, "later than RecoverS after that", stay, 10*time.Second, order)
	return share < 0.25, nil
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

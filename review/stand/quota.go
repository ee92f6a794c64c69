package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Bounds of the site and the limits of the tenant.
const (
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	quotaRate   = 300 // RatePerS
	quotaBurst  = 100 // Burst
	quotaLoad   = 3   // what the tenant sends, in times its rate
	quotaKey    = "key-of-club-9-0123456789"
)

// quotaVictims are 4 of the 13 machines, a minority of each zone. None of them holds a share
// of the tenant club9.
var quotaVictims = map[string]bool{"sidecar-bole-4": true, "sidecar-bole-5": true, "sidecar-kirkos-4": true, "sidecar-arada-4": true}

// quotaCase kills a part of the nodes twice while one tenant sends more than its rate.
func quotaCase(s *Site, trouble bool) (bool, error) {
	press(s, 10*time.Millisecond)
	s.Store.PutConfig(document{Version: 3, Resources: []resource{
		routeOf("history", "press.example", "/history/", "safe", "archive", 5, 2, false),
		serviceOf("archive"), serviceOf("orders"), serviceOf("artwork"), serviceOf("catalogue"), limitsOf(),
		tenantOf("club9", []string{quotaKey}, quotaRate, quotaBurst),
	}})
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines do
	s.say("traffic starts")
	var mu sync.Mutex
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range s.Nodes {
		wg.Go(func() {
			c := newClient()
			tick := time.NewTicker(time.Second * time.Duration(len(s.Nodes)) / (quotaRate * quotaLoad))
			defer tick.Stop()
			var inner sync.WaitGroup
			defer inner.Wait()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				inner.Go(func() {
					id := s.newID()
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					a := s.send(c, n, id, "GET", "press.example", "/history/1", quotaKey, nil, 2*time.Second)
					mu.Lock()
					statuses[a.Status]++
					mu.Unlock()
					s.log("sent %s through %s at %.3f, answered %d", id, n.Name, a.Sent.Sub(s.began).Seconds(), a.Status)
				})
			}
		})
	}
	time.Sleep(8 * time.Second)
	for range 2 {
		if trouble {
			if err := s.killAndStart(quotaVictims); err != nil {
				return false, err
			}
		}
		time.Sleep(1700 * time.Millisecond)
	}
	time.Sleep(9 * time.Second)
	close(stop)
	wg.Wait()
	// Rule QUOTA: runs that were both sent and arrived within a window.
	var list [][2]time.Time
	perSecond := map[int]int{}
	for _, r := range s.Runs.list() {
		s.log("run %s tenant %s at %s at %.3f", r.ID, r.Tenant, r.Target, r.At.Sub(s.began).Seconds())
		perSecond[int(r.At.Sub(s.began).Seconds())]++
		if r.Tenant == "club9" {
			list = append(list, [2]time.Time{sent[r.ID], r.At})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i][0].Before(list[j][0]) })
	worst, when := 0, s.began
	for i := range list {
		end, n := list[i][0].Add(quotaWindow), 0
		for j := i; j < len(list) && !list[j][0].After(end); j++ {
			if !list[j][1].After(end) {
				n++
			}
		}
		if n > worst {
			worst, when = n, list[i][0]
		}
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	var seconds []int
	for k := range perSecond {
		seconds = append(seconds, k)
	}
	sort.Ints(seconds)
	for _, k := range seconds {
		s.log("second %d: %d runs", k, perSecond[k])
	}
	s.say("answers by status: %v", statuses)
	s.say("at most %d runs sent and arrived within %v, from second %.1f on; the bound is %.0f, the quota alone %.0f", worst, quotaWindow, when.Sub(s.began).Seconds(), bound, quotaRate*quotaWindow.Seconds()+quotaBurst)
	if worst < quotaRate*4 {
		return false, fmt.Errorf("too few requests ran")
	}
	return float64(worst) > bound, nil
}

// killAndStart kills nodes at the same moment and starts them again a little later.
func (s *Site) killAndStart(names map[string]bool) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(s.Nodes))
	for _, n := range s.Nodes {
		if !names[n.Name] {
			continue
		}
		wg.Go(func() {
			s.say("kill %s", n.Name)
			n.kill()
			time.Sleep(200 * time.Millisecond)
			if err := n.start(); err != nil {
				errs <- err
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func init() { cases["quota"] = quotaCase }

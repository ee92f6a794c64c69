package picker

import (
	"math"
	"testing"
	"time"

	"dogwoodsill.org/core/admit"
	"gotest.tools/v3/assert"
)

// Guards against uploads that cross zones although a target of their zone can
// serve them, and against uploads that wait in a zone whose queues are full.
func TestLargeBodyStays(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight []int // of the targets of the own zone, with a limit of 100
		want     float64
	}{
		{"one target full", []int{150, 30, 30}, 1},
		{"crowded", []int{100, 99, 101}, 1},
		{"full", []int{200, 200, 200}, 0},
	} {
		s := newTestSet(6, 3)
		s.trackQuality = true
		rng := newRNG()
		own := 0.0
		for i := range 500 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			for k, st := range s.targets {
				f := &admit.Feedback{Level: admit.OpenLevel, Limit: 100, InFlight: 20, ServiceTime: 300_000}
				if k < 3 {
					f.InFlight = test.inFlight[k]
				}
				s.Done(now, st.ID, OK, f)
			}
			id, _ := s.Pick(now, Query{LargeBody: true, LatencyGoal: time.Second}, rng)
			s.Done(now, id, Unknown, nil)
			if s.find(id).Zone == "a" {
				own += 1. / 500
			}
		}
		assert.Assert(t, math.Abs(own-test.want) < 0.02, "%s: %.3f of the calls stay", test.name, own)
	}
}

// Guards against retries that go to slow targets as often as first attempts.
func TestRetriesAvoidSlowTarget(t *testing.T) {
	slow := func(tried []string) float64 {
		s := newTestSet(6, 6)
		for i, st := range s.targets {
			f := &admit.Feedback{Level: admit.OpenLevel, Limit: 100, InFlight: 50, ServiceTime: 200_000}
			if i == 0 {
				f.ServiceTime *= 3
			}
			s.Done(start, st.ID, OK, f)
		}
		return float64(picks(s, start, 20000, Query{Tried: tried}, Unknown, nil)["t000"]) / 20000
	}
	first, retry := slow(nil), slow([]string{"t001", "t002"})
	assert.Assert(t, first < 1./6/5, "first attempts: %.4f", first)
	assert.Assert(t, retry < 1./4/5, "retries: %.4f", retry)
}

// Guards against load that is sent on to a zone whose calls get no response. Only
// half of the targets are ejected, so that one of them remains.
func TestSilentZone(t *testing.T) {
	s := newTestSet(6, 2)
	rng := newRNG()
	full := &admit.Feedback{Level: admit.OpenLevel, Limit: 100, InFlight: 150, ServiceTime: 500_000}
	crossed := [10]int{}
	for i := range 10000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		id, _ := s.Pick(now, Query{LatencyGoal: time.Second, NoProbe: true}, rng)
		if s.find(id).Zone == "a" {
			s.Done(now, id, Refused, full)
		} else {
			crossed[i/1000]++
		}
	}
	assert.Assert(t, crossed[1] > 0)
	assert.DeepEqual(t, crossed[4:], make([]int, 6))
}

// Guards against a zone that counts as cut off because the only call to it that
// was in flight went to a target that has left the list, so that its end is not
// recorded.
func TestZoneOfRemovedTarget(t *testing.T) {
	s := newTestSet(4, 2)
	f := &admit.Feedback{Level: admit.OpenLevel, Limit: 100, InFlight: 20, ServiceTime: 300_000}
	for _, st := range s.targets {
		s.Done(start, st.ID, OK, f)
	}
	now := start.Add(time.Millisecond)
	id, _ := s.Pick(now, Query{Tried: []string{"t000", "t001", "t003"}}, newRNG())
	assert.Equal(t, id, "t002")
	zone := s.find(id).zone
	s.Update([]Target{s.targets[0].Target, s.targets[1].Target, s.targets[3].Target})
	s.Done(now, id, Failed, nil)
	assert.Assert(t, !zone.cutOff(now.Add(2*DefaultUnreachableAfter)))
}

// Guards against a zone that counts as crowded because a single target of it holds
// many times its limit, as after a sharp fall of the limit, while the others have
// room.
func TestOneFullTargetKeepsZone(t *testing.T) {
	for _, inFlight := range []int{54, 200, 1 << 20} {
		s, rng, most := newTestSet(8, 4), newRNG(), 0.0
		for i := range 20_000 {
			now := start.Add(time.Duration(i) * 5 * time.Millisecond)
			id, _ := s.Pick(now, Query{LatencyGoal: time.Second}, rng)
			f := &admit.Feedback{Level: admit.OpenLevel, Limit: 100, InFlight: 20, ServiceTime: 300_000}
			if id == "t000" {
				f.Limit, f.InFlight = 1, inFlight
			}
			s.Done(now, id, OK, f)
			most = max(most, s.spilled)
		}
		assert.Check(t, most < 0.1, "%d in flight: up to %.2f of the calls spill over", inFlight, most)
	}
}

package spread

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Loads returns the loads on which the choices are compared.
func Loads() []Load {
	mixed, alike := []float64{0.5, 1.7, 0.8, 1.2, 1}, []float64{1}
	slots, equal := []int{158, 72, 110, 130, 90}, slices.Repeat([]int{100}, 8)
	const second = time.Second
	loads := []Load{
		{Name: "two speeds 1:3", Zones: []ZoneLoad{{0.8, equal[:4], []float64{0.5, 1.5}}}, Nodes: 20, Length: 12 * second},
		{Name: "zones at 1.55 and 0.45", Zones: []ZoneLoad{{1.55 * 0.7, slots, mixed}, {0.45 * 0.7, slots, mixed}}, Nodes: 20, Length: 24 * second, CalmAt: 14 * second},
		{Name: "feedback 200 ms old from 90 nodes", Zones: []ZoneLoad{{0.85, equal, []float64{1.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7}}}, Nodes: 90, FeedbackAge: 200 * time.Millisecond, Length: 12 * second},
		{Name: "recovered upstream", Zones: []ZoneLoad{{0.75, equal[:6], alike}}, Nodes: 30, Length: 18 * second, Speed: slowed(4*second, 10*second, 0.25)},
		{Name: "five times slower", Zones: []ZoneLoad{{0.75, equal[:6], alike}, {0.75, equal[:6], alike}}, Nodes: 20, Length: 16 * second, Speed: slowed(4*second, time.Hour, 0.2)},
		{Name: "calm", Zones: []ZoneLoad{{0.65, slots, mixed}, {0.65, slots, mixed}, {0.65, slots, mixed}}, Nodes: 30, Length: 10 * second},
		{Name: "slow zone, tight goal", Zones: []ZoneLoad{{0.65, slots, []float64{0.6}}, {0.65, slots, alike}, {0.65, slots, []float64{1.4}}}, Nodes: 30, Length: 12 * second, Goal: 800 * time.Millisecond},
		{Name: "zone cut off", Zones: []ZoneLoad{{1.05 * 0.9, slots, mixed}, {0.5, slots, mixed}}, Nodes: 20, Length: 16 * second, CutAt: 6 * second},
	}
	for i := range loads {
		loads[i].Work = 400 * time.Millisecond
		if loads[i].Goal == 0 {
			loads[i].Goal = 1600 * time.Millisecond
		}
	}
	return loads
}

// slowed returns the speeds of upstreams of which the first has another one for
// a time.
func slowed(from, to time.Duration, speed float64) func(int, time.Duration) float64 {
	return func(i int, at time.Duration) float64 {
		if i == 0 && at >= from && at < to {
			return speed
		}
		return 1
	}
}

// Write plays all loads without and with service times and writes what callers
// get.
func Write(w io.Writer, seed uint64) error {
	for _, l := range Loads() {
		before, after := Play(l, false, seed), Play(l, true, seed)
		_, err := fmt.Fprintf(w, "%-34s within goal %.4f, now %.4f; mean latency %.0f ms, now %.0f ms; crossed %.4f, now %.4f; deviation %.2f, now %.2f\n",
			l.Name, before.Within, after.Within, 1000*before.Mean, 1000*after.Mean, before.Crossed, after.Crossed, before.Deviation, after.Deviation)
		if err != nil {
			return err
		}
	}
	return nil
}

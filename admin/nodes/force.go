package nodes

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/report"
	"dogwoodsill.org/core/super"
)

// Poll intervals of Wait. The interval doubles from the minimum to the maximum,
// because a status of a fleet of the target size has several megabytes.
const (
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = 2 * time.Second
)

// Pending is a zone or instance that has not confirmed a configuration offset, or
// a node that can't be read.
type Pending struct {
	Zone     string `json:"zone,omitempty"`
	Instance string `json:"instance,omitempty"`
	Addr     string `json:"addr,omitempty"`   // of a listed node whose status can't be read
	Offset   uint64 `json:"offset,omitempty"` // newest known offset of the instance
	Reason   string `json:"reason"`
}

// String formats the pending confirmation as one line.
func (p Pending) String() string {
	switch {
	case p.Instance != "":
		return fmt.Sprintf("zone %s, instance %s: %s", p.Zone, p.Instance, p.Reason)
	case p.Addr != "":
		return fmt.Sprintf("node %s: %s", p.Addr, p.Reason)
	default:
		return fmt.Sprintf("zone %s: %s", p.Zone, p.Reason)
	}
}

// progress is the newest known configuration offset of an instance.
type progress struct {
	zone         string
	incarnation  uint64
	offset       uint64
	selfReported bool // reported by the instance itself
}

// Unconfirmed returns the zones, instances and nodes that have not confirmed that
// they applied the configuration up to an offset. The offset of an instance is
// the one that it reports itself or, if its status wasn't read, the highest that
// another node knows for its newest incarnation. A listed node that can't be
// read, and a zone with a positive weight but no known instance, count as
// unconfirmed: they may be partitioned and still serve requests.
func Unconfirmed(replies []Reply[report.Status], fleet model.Fleet, offset uint64) []Pending {
	var out []Pending
	for _, r := range replies {
		if r.Err != nil {
			out = append(out, Pending{Addr: r.Addr, Reason: r.Err.Error()})
		}
	}
	instances := collectProgress(replies)
	zones := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		s := instances[name]
		zones[s.zone] = true
		if s.offset < offset {
			reason := fmt.Sprintf("at configuration offset %d, needs %d", s.offset, offset)
			out = append(out, Pending{Zone: s.zone, Instance: name, Offset: s.offset, Reason: reason})
		}
	}
	for _, z := range fleet.Zones {
		if z.Weight > 0 && !zones[z.Name] {
			out = append(out, Pending{Zone: z.Name, Reason: "no instance is seen"})
		}
	}
	slices.SortStableFunc(out, func(a, b Pending) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

func collectProgress(replies []Reply[report.Status]) map[string]progress {
	out := map[string]progress{}
	for _, r := range replies {
		if r.Err != nil {
			continue
		}
		keepNewer(out, r.Doc.Instance, progress{r.Doc.Zone, r.Doc.Incarnation, r.Doc.ConfigOffset, true})
		for _, m := range r.Doc.Members {
			keepNewer(out, m.Instance, progress{m.Zone, m.Incarnation, m.ConfigOffset, false})
		}
	}
	return out
}

// keepNewer stores s unless a newer report on the instance is already stored. A
// higher incarnation is newer; within one, the instance's own report takes
// precedence, then the higher offset.
func keepNewer(all map[string]progress, name string, s progress) {
	old, ok := all[name]
	switch {
	case !ok || s.incarnation > old.incarnation:
	case s.incarnation < old.incarnation:
		return
	case s.selfReported != old.selfReported:
		if old.selfReported {
			return
		}
	case s.offset <= old.offset:
		return
	}
	all[name] = s
}

// Wait polls the nodes until all have confirmed an offset or ctx is done. It
// returns what was unconfirmed at the last complete poll or, if there was none, at
// the interrupted one.
func (c *Client) Wait(ctx context.Context, fleet model.Fleet, offset uint64) []Pending {
	var last []Pending
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		replies := c.Statuses(ctx)
		if ctx.Err() != nil && last != nil {
			return last // ctx ended during this poll, so its replies are incomplete
		}
		last = Unconfirmed(replies, fleet, offset)
		if len(last) == 0 {
			return nil
		}
		if !super.Pause(ctx, interval) {
			return last
		}
	}
}

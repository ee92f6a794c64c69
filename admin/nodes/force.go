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

// Times between two looks at the nodes. They double from the first to the last:
// a status of the target size has megabytes.
const (
	firstPoll = 100 * time.Millisecond
	lastPoll  = 2 * time.Second
)

// Pending is a zone, instance or address that has not confirmed an offset.
type Pending struct {
	Zone     string `json:"zone,omitempty"`
	Instance string `json:"instance,omitempty"`
	Addr     string `json:"addr,omitempty"`   // of a listed node that can't be read
	Offset   uint64 `json:"offset,omitempty"` // last one that was seen
	Reason   string `json:"reason"`
}

// String describes the pending confirmation in one line.
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

// seen is what is known of one instance.
type seen struct {
	zone        string
	incarnation uint64
	offset      uint64
	direct      bool // told by the instance itself
}

// Unconfirmed returns who has not folded the configuration up to an offset. The
// offset of an instance is the one that it tells itself, otherwise the highest
// that another node heard from its newest incarnation. A zone with a weight of
// which no instance is seen, and a listed node that can't be read, count as not
// confirmed: they may be cut off and still serve.
func Unconfirmed(replies []Reply[report.Status], fleet model.Fleet, offset uint64) []Pending {
	var out []Pending
	for _, r := range replies {
		if r.Err != nil {
			out = append(out, Pending{Addr: r.Addr, Reason: r.Err.Error()})
		}
	}
	instances := collect(replies)
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

func collect(replies []Reply[report.Status]) map[string]seen {
	out := map[string]seen{}
	for _, r := range replies {
		if r.Err != nil {
			continue
		}
		note(out, r.Doc.Instance, seen{r.Doc.Zone, r.Doc.Incarnation, r.Doc.ConfigOffset, true})
		for _, m := range r.Doc.Members {
			note(out, m.Instance, seen{m.Zone, m.Incarnation, m.ConfigOffset, false})
		}
	}
	return out
}

// note keeps the newer of two statements about an instance.
func note(all map[string]seen, name string, s seen) {
	old, ok := all[name]
	switch {
	case !ok || s.incarnation > old.incarnation:
	case s.incarnation < old.incarnation:
		return
	case s.direct != old.direct:
		if old.direct {
			return
		}
	case s.offset <= old.offset:
		return
	}
	all[name] = s
}

// Wait asks the nodes until all have confirmed an offset or ctx ends. It
// returns those that had not at the last look.
func (c *Client) Wait(ctx context.Context, fleet model.Fleet, offset uint64) []Pending {
	var last []Pending
	for every := firstPoll; ; every = min(2*every, lastPoll) {
		replies := c.Statuses(ctx)
		if ctx.Err() != nil && last != nil {
			return last // the requests of this look were cut off
		}
		last = Unconfirmed(replies, fleet, offset)
		if len(last) == 0 {
			return nil
		}
		if !super.Pause(ctx, every) {
			return last
		}
	}
}

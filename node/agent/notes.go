package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

// notesInterval is the time between two looks at what the node believes. A change
// that lasts less is of no use to who reads the log.
const notesInterval = time.Second

// belief is what the node holds for true, as far as its decisions depend on it.
type belief struct {
	config   uint64 // version in force; 0 for none
	change   store.Change
	stale    bool // neither the log nor a peer confirmed it lately
	epoch    uint64
	lease    bool
	others   []string // instances that are alive, sorted
	upstream string   // identifier and state; empty for none
	leftOut  int64    // log lines
	at       time.Time
}

// note is a line of the log.
type note struct {
	level hclog.Level
	text  string
	args  []any
}

// notes returns what changed between two beliefs.
func notes(before, after belief) []note {
	var out []note
	add := func(level hclog.Level, text string, args ...any) { out = append(out, note{level, text, args}) }
	if after.config != before.config {
		add(hclog.Info, "configuration in force", "version", after.config, "before", before.config,
			"from", after.change.Origin, "ago", after.at.Sub(after.change.At))
	}
	switch {
	case after.stale && !before.stale:
		add(hclog.Warn, "configuration not confirmed by the log or a peer", "version", after.config)
	case before.stale && !after.stale:
		add(hclog.Info, "configuration confirmed again", "version", after.config)
	}
	if after.epoch != before.epoch {
		add(hclog.Info, "member list of the zone in force", "epoch", after.epoch, "before", before.epoch)
	}
	switch {
	case before.lease && !after.lease:
		add(hclog.Warn, "zone lease lost: no tokens are lent", "epoch", after.epoch)
	case after.lease && !before.lease:
		add(hclog.Info, "zone lease held", "epoch", after.epoch)
	}
	if lost := without(before.others, after.others); len(lost) > 0 {
		add(hclog.Warn, "instances lost", "instances", strings.Join(lost, ","), "alive", len(after.others))
	}
	if found := without(after.others, before.others); len(found) > 0 {
		add(hclog.Info, "instances found", "instances", strings.Join(found, ","), "alive", len(after.others))
	}
	if after.upstream != before.upstream {
		add(hclog.Info, "upstream changed", "upstream", after.upstream, "before", before.upstream)
	}
	if n := after.leftOut - before.leftOut; n > 0 {
		add(hclog.Warn, "log lines left out", "lines", n, "sinceStart", after.leftOut)
	}
	return out
}

// without returns the elements of a that b doesn't have.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}

// believe returns what the node believes at a time.
func (a *Agent) believe(now time.Time) belief {
	b := belief{config: a.store.Offset(), epoch: a.zones.Adopted(), others: a.fleet.others(), leftOut: a.leftOut(), at: boot.Now()}
	b.change = a.store.LastChange()
	b.stale = a.store.Current() != nil && a.store.Age(boot.Now()) > a.staleAfter()
	a.zones.WithView(func(v zones.View) { b.lease = v.Lease.Valid(now) })
	if up, ok := a.target.Upstream(now); ok {
		b.upstream = strings.Join([]string{up.Service, up.ID, string(up.State)}, " ")
	}
	return b
}

// leftOut returns the number of log lines left out since the start.
func (a *Agent) leftOut() int64 {
	n := a.lines.LeftOut()
	if a.unwritten != nil {
		n += a.unwritten()
	}
	a.metrics.Put(metric.LogLeftOut, n)
	return n
}

// note is the duty that logs what the node begins to believe.
func (a *Agent) note(ctx context.Context) error {
	var before belief
	return super.Every(ctx, notesInterval, func(now time.Time) {
		after := a.believe(now)
		for _, n := range notes(before, after) {
			a.log.Log(n.level, n.text, n.args...)
		}
		before = after
	})
}

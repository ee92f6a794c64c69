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

// stateInterval is the time between two checks for changes of the node's state. A
// shorter change is not worth a log line.
const stateInterval = time.Second

// nodeState holds the parts of the node's state whose changes are logged.
type nodeState struct {
	config       uint64 // offset of the configuration; 0 for none
	change       store.Change
	stale        bool // neither the log nor a peer has confirmed the configuration recently
	epoch        uint64
	logEra       uint64   // 0 before the first response of the log
	lease        bool     // the zone lease is valid
	others       []string // other alive instances, sorted
	upstream     string   // service, identifier and state; empty for none
	rateLimit    float64  // calls per second that the upstream accepts; 0 without a limit
	droppedLines int64    // number of dropped log lines
	learned      learnedState
	at           time.Time // on the clock of package boot
}

// logLine is a line to be logged.
type logLine struct {
	level hclog.Level
	text  string
	args  []any
}

// changes returns a log line for each difference between two states.
func changes(before, after nodeState) []logLine {
	var out []logLine
	add := func(level hclog.Level, text string, args ...any) { out = append(out, logLine{level, text, args}) }
	if after.config != before.config {
		add(hclog.Info, "configuration in effect", "version", after.config, "before", before.config,
			"from", after.change.Origin, "ago", after.at.Sub(after.change.At))
	}
	switch {
	case after.stale && !before.stale:
		add(hclog.Warn, "configuration not confirmed by the log or a peer", "version", after.config)
	case before.stale && !after.stale:
		add(hclog.Info, "configuration confirmed again", "version", after.config)
	}
	if after.epoch != before.epoch {
		add(hclog.Info, "zone member list in effect", "epoch", after.epoch, "before", before.epoch)
	}
	if after.logEra != before.logEra && before.logEra > 0 {
		add(hclog.Warn, "the log has come back from a copy and may lack records", "era", after.logEra, "before", before.logEra)
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
	switch {
	case after.rateLimit == before.rateLimit:
	case after.rateLimit == 0:
		add(hclog.Info, "upstream no longer states a rate limit", "before", before.rateLimit)
	default:
		add(hclog.Warn, "upstream states a rate limit", "perSecond", after.rateLimit, "before", before.rateLimit)
	}
	if after.learned != before.learned {
		add(hclog.Info, "learned capacity of the upstream changed", "limit", after.learned.limit, "before", before.learned.limit,
			"serviceTime", after.learned.serviceTime, "serviceTimeBefore", before.learned.serviceTime, "workTime", after.learned.workTime, "workTimeBefore", before.learned.workTime)
	}
	if n := after.droppedLines - before.droppedLines; n > 0 {
		add(hclog.Warn, "log lines dropped", "lines", n, "sinceStart", after.droppedLines)
	}
	return out
}

// without returns the elements of a that are not in b.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}

// state returns the state of the node at the given time.
func (a *Agent) state(now time.Time) nodeState {
	s := nodeState{config: a.store.Offset(), epoch: a.zones.Adopted(), logEra: a.zones.Era(), others: a.fleet.otherInstances(), droppedLines: a.droppedLines(), at: boot.Now()}
	load := a.target.Load()
	s.rateLimit = load.Rate
	s.learned = learnedState{load.LearnedLimit, load.ServiceTime, load.WorkTime}
	s.change = a.store.LastChange()
	s.stale = a.store.Current() != nil && a.store.Age(boot.Now()) > a.staleAfter()
	a.zones.WithView(func(v zones.View) { s.lease = v.Lease.Valid(now) })
	if up, ok := a.target.Upstream(now); ok {
		s.upstream = strings.Join([]string{up.Service, up.ID, string(up.State)}, " ")
	}
	return s
}

// droppedLines returns the number of log lines dropped since the start, by the
// limits on lines about single requests or by the output. It also updates the
// metric.
func (a *Agent) droppedLines() int64 {
	n := a.logLimiter.Dropped() + a.abortLogLimiter.Dropped()
	if a.droppedByOutput != nil {
		n += a.droppedByOutput()
	}
	a.metrics.SetGauge(metric.LogLinesDropped, n)
	return n
}

// logChanges is the background task that logs changes of the node's state.
func (a *Agent) logChanges(ctx context.Context) error {
	var before nodeState
	var mean learnedState
	return super.Every(ctx, stateInterval, func(now time.Time) {
		after := a.state(now)
		mean.add(after.learned)
		after.learned = before.learned.next(mean)
		for _, line := range changes(before, after) {
			a.log.Log(line.level, line.text, line.args...)
		}
		before = after
	})
}

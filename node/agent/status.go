package agent

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/report"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/zones"
)

// Status returns the state of the node.
func (a *Agent) Status() report.Status {
	now := time.Now()
	s := report.Status{
		Instance:     a.cfg.Instance.Name,
		Zone:         a.cfg.Instance.Zone,
		Incarnation:  a.incarnation,
		Draining:     a.stopping.Load(),
		ConfigOffset: a.store.Offset(),
		ConfigAgeMS:  -1,
		Epoch:        a.zones.Adopted(),
		Shares:       a.tokens.ShareCount(),
		Members:      a.fleet.memberReports(),
		Tasks:        a.tree.Status(),
	}
	a.zones.WithView(func(v zones.View) { s.Lease = v.Lease.Valid(now) })
	if cur := a.store.Current(); cur != nil {
		s.Ready = true
		s.ConfigAgeMS = a.store.Age(boot.Now()).Milliseconds()
		s.Conflicts = cur.Table.Conflicts
		s.ConfigDigest = cur.View.Digest()
	}
	s.Evacuation = a.evacuationReport()
	if up, ok := a.target.Upstream(now); ok {
		s.Upstream = upstreamReport(up)
		load := a.target.Load()
		s.Upstream.InFlight, s.Upstream.Limit, s.Upstream.RateLimit = load.Running, load.Limit, load.Rate
		s.Upstream.LearnedLimit, s.Upstream.ServiceUS, s.Upstream.WorkTime = load.LearnedLimit, load.ServiceTime.Microseconds(), load.WorkTime
	}
	s.Spilled = spillReports(a.caller.Spilled(now))
	return s
}

// Metrics returns the metrics of the node after updating its gauges.
func (a *Agent) Metrics() *metric.Set {
	a.metrics.SetGauge(metric.ConfigOffset, int64(a.store.Offset()))
	if a.store.Current() != nil {
		a.metrics.SetGauge(metric.ConfigAge, a.store.Age(boot.Now()).Milliseconds())
	}
	a.metrics.SetGauge(metric.Epoch, int64(a.zones.Adopted()))
	load := a.target.Load()
	a.metrics.SetGauge(metric.InFlight, int64(load.Running))
	a.metrics.SetGauge(metric.Waiting, int64(load.Waiting))
	a.metrics.SetGauge(metric.ConcurrencyLimit, int64(load.Limit))
	a.metrics.SetGauge(metric.UpstreamRateLimit, int64(load.Rate))
	a.metrics.SetGauge(metric.Cold, asGauge(a.target.Cold(time.Now())))
	a.metrics.SetGauge(metric.LearnedLimit, int64(load.LearnedLimit))
	a.metrics.SetGauge(metric.ServiceTime, load.ServiceTime.Microseconds())
	a.metrics.SetGauge(metric.WorkTime, int64(math.Round(load.WorkTime*100)))
	a.metrics.SetGauge(metric.EvacuatedZones, int64(len(a.evacuatedZones())))
	a.metrics.SetGauge(metric.CrashingRequests, int64(a.crashes.Refused(time.Now())))
	a.setMemoryGauges()
	a.setSpillGauges(time.Now())
	a.metrics.SetGauge(metric.Processor, a.processorTime().Milliseconds())
	return a.metrics
}

// asGauge returns 1 for true.
func asGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func upstreamReport(u relay.Upstream) *report.Upstream {
	return &report.Upstream{ID: u.ID, Service: u.Service, Addr: u.Addr, State: string(u.State), Slots: u.Slots}
}

// httpServer serves HTTP on a listener.
type httpServer interface {
	Serve(ln net.Listener) error
}

// serveHTTP returns the background task that serves HTTP on a listener.
func serveHTTP(s httpServer, ln net.Listener) func(context.Context) error {
	return func(context.Context) error {
		err := s.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	}
}

package agent

import (
	"math"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/report"
	"dogwoodsill.org/node/relay"
)

// minSpillChange is the least change of a fraction that is logged. Exploration
// alone sends about 0.01 of the calls to other zones, with large variation.
const minSpillChange = 0.04

// spillReports converts fractions of calls to other zones for the status document.
func spillReports(spills []relay.Spill) []report.Spill {
	var reports []report.Spill
	for _, s := range spills {
		reports = append(reports, report.Spill{Service: s.Service, Zone: s.Zone, Fraction: s.Fraction})
	}
	return reports
}

// setSpillGauges updates the gauges of the calls to other zones.
func (a *Agent) setSpillGauges(now time.Time) {
	for _, s := range a.caller.Spilled(now) {
		a.metrics.SetGauge(metric.Spilled+s.Service+"."+s.Zone, int64(math.Round(1000*s.Fraction)))
	}
}

// spillKey identifies a fraction of calls to another zone.
type spillKey struct{ service, zone string }

// spillLog holds the fractions that were logged last.
type spillLog map[spillKey]float64

// log writes a line for each fraction that changed by more than a quarter since
// its last line.
func (l spillLog) log(log hclog.Logger, spills []relay.Spill) {
	for _, s := range spills {
		key := spillKey{service: s.Service, zone: s.Zone}
		before := l[key]
		if math.Abs(s.Fraction-before) <= max(minSpillChange, 0.25*before) {
			continue
		}
		l[key] = s.Fraction
		log.Info("fraction of calls to another zone changed", "service", s.Service, "zone", s.Zone, "fraction", s.Fraction, "before", before)
	}
}

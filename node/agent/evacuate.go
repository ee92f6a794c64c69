package agent

import (
	"maps"
	"slices"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/evac"
	"dogwoodsill.org/core/report"
	"dogwoodsill.org/node/store"
)

// watchEvacuations prepares the store for a source that reads which zones are evacuated. It must be
// called before the background tasks start.
func (a *Agent) watchEvacuations() {
	if a.platform == nil {
		return
	}
	if _, ok := a.platform.ConfigSource.(store.EvacuationSource); !ok {
		return
	}
	a.readsEvacuations = true
	a.store.RequireEvacuations()
	a.store.OnEvacuation(func(before, after evac.State) {
		begun, ended := evac.Differences(before, after)
		if slices.Contains(ended, a.cfg.Instance.Zone) {
			a.target.ForgetCold(time.Now()) // the upstream may have become cold while it had no calls
		}
		for _, zone := range begun {
			a.log.Warn("zone evacuated: its upstreams get no new calls", "zone", zone, "since", after.Zones[zone], "era", after.Era, "offset", after.Offset)
		}
		for _, zone := range ended {
			a.log.Info("evacuation cancelled: the upstreams of the zone get calls again", "zone", zone, "since", before.Zones[zone], "era", after.Era, "offset", after.Offset)
		}
	})
}

// evacuatedZones returns the names of the evacuated zones, sorted.
func (a *Agent) evacuatedZones() []string {
	state, _ := a.store.Evacuation()
	return slices.Sorted(maps.Keys(state.Zones))
}

// evacuationReport returns what this node knows of evacuated zones, nil if nothing.
func (a *Agent) evacuationReport() *report.Evacuation {
	asOf, ok := a.store.EvacuationKnown()
	if !ok {
		return nil
	}
	state, _ := a.store.Evacuation()
	r := &report.Evacuation{Era: state.Era, Offset: state.Offset, AgeMS: boot.Now().Sub(asOf).Milliseconds(), Zones: []report.EvacuatedZone{}}
	for _, zone := range slices.Sorted(maps.Keys(state.Zones)) {
		r.Zones = append(r.Zones, report.EvacuatedZone{Zone: zone, Since: state.Zones[zone]})
	}
	return r
}

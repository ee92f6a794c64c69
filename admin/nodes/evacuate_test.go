package nodes

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/report"
)

// Guards against a zone that is shown as evacuated although some nodes still send calls to it, and
// against a node that can't be read and counts as one that knows.
func TestEvacuatedZones(t *testing.T) {
	since := time.Date(2026, 12, 6, 21, 0, 0, 0, time.UTC)
	status := func(name string, e *report.Evacuation) Reply[report.Status] {
		return Reply[report.Status]{Addr: name, Doc: report.Status{Instance: name, Evacuation: e}}
	}
	zone := func(name string, at time.Time) report.EvacuatedZone {
		return report.EvacuatedZone{Zone: name, Since: at}
	}
	f := Merge([]Reply[report.Status]{
		status("n3", &report.Evacuation{Zones: []report.EvacuatedZone{zone("b", since.Add(time.Second)), zone("a", since)}}),
		status("n2", &report.Evacuation{}),
		status("n1", &report.Evacuation{Zones: []report.EvacuatedZone{zone("b", since)}}),
		status("n0", nil),
		{Addr: "n9", Err: errors.New("no route")},
	})
	assert.DeepEqual(t, f.Evacuated, []ZoneView{
		{Zone: "a", Since: since, KnownBy: []string{"n3"}, Unknown: []string{"n0", "n1", "n2"}},
		{Zone: "b", Since: since, KnownBy: []string{"n1", "n3"}, Unknown: []string{"n0", "n2"}},
	})
	assert.Equal(t, f.Evacuated[1].String(), "evacuated: zone b since 2026-12-06T21:00:00Z, known to 2 of 4 nodes, not to n0, n2")
}

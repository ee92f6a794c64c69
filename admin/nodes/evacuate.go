package nodes

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodsill.org/core/report"
)

// ZoneView is an evacuated zone as several nodes see it.
type ZoneView struct {
	Zone    string    `json:"zone"`
	Since   time.Time `json:"since"` // when a node read the request of the operator first
	KnownBy []string  `json:"knownBy"`
	Unknown []string  `json:"unknownTo,omitempty"` // nodes whose status was read and that still send calls to the zone
}

// String describes the zone on one line.
func (z ZoneView) String() string {
	text := fmt.Sprintf("evacuated: zone %s since %s, known to %d of %d nodes", z.Zone, z.Since.UTC().Format(time.RFC3339), len(z.KnownBy), len(z.KnownBy)+len(z.Unknown))
	if len(z.Unknown) > 0 {
		text += ", not to " + strings.Join(z.Unknown, ", ")
	}
	return text
}

// mergeEvacuations returns the zones that at least one of several nodes takes for evacuated, sorted.
func mergeEvacuations(replies []Reply[report.Status]) []ZoneView {
	zones := map[string]*ZoneView{}
	for _, r := range replies {
		if r.Err != nil || r.Doc.Evacuation == nil {
			continue
		}
		for _, e := range r.Doc.Evacuation.Zones {
			z := zones[e.Zone]
			if z == nil {
				z = &ZoneView{Zone: e.Zone, Since: e.Since}
				zones[e.Zone] = z
			}
			if e.Since.Before(z.Since) {
				z.Since = e.Since
			}
			z.KnownBy = append(z.KnownBy, r.Doc.Instance)
		}
	}
	var out []ZoneView
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		z := *zones[name]
		for _, r := range replies {
			if r.Err == nil && !slices.Contains(z.KnownBy, r.Doc.Instance) {
				z.Unknown = append(z.Unknown, r.Doc.Instance)
			}
		}
		slices.Sort(z.KnownBy)
		slices.Sort(z.Unknown)
		out = append(out, z)
	}
	return out
}

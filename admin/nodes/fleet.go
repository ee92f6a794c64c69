package nodes

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"dogwoodsill.org/core/report"
)

// Fleet is the fleet as several nodes see it.
type Fleet struct {
	Views       int        `json:"views"` // nodes that were read
	Instances   []Instance `json:"instances"`
	Differences []string   `json:"differences"`
	Unreachable []Pending  `json:"unreachable,omitempty"`
}

// Instance is one instance of the fleet.
type Instance struct {
	Name        string `json:"instance"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Service     string `json:"service,omitempty"`
	Upstream    string `json:"upstream,omitempty"` // state of the upstream
	Load        string `json:"load,omitempty"`     // calls at the upstream and limit, if the node itself was read
	Epoch       uint64 `json:"epoch"`
	Lease       string `json:"lease,omitempty"` // if the node itself was read
	Offset      uint64 `json:"configOffset"`
	AgeMS       *int64 `json:"configAgeMs,omitempty"` // if the node itself was read; -1 before the first configuration
	SeenBy      int    `json:"seenBy"`                // views that have the instance
}

// viewed is what one node says of an instance.
type viewed struct {
	by string
	Instance
}

// Merge combines the statuses of several nodes.
func Merge(replies []Reply[report.Status]) Fleet {
	f := Fleet{Instances: []Instance{}, Differences: []string{}}
	all := map[string][]viewed{}
	var views []string
	for _, r := range replies {
		if r.Err != nil {
			f.Unreachable = append(f.Unreachable, Pending{Addr: r.Addr, Reason: r.Err.Error()})
			continue
		}
		views = append(views, r.Doc.Instance)
		own := direct(r.Doc)
		all[own.Name] = append(all[own.Name], viewed{r.Doc.Instance, own})
		for _, m := range r.Doc.Members {
			if m.Instance != r.Doc.Instance {
				all[m.Instance] = append(all[m.Instance], viewed{r.Doc.Instance, remote(m)})
			}
		}
		for _, c := range r.Doc.Conflicts {
			f.Differences = append(f.Differences, fmt.Sprintf("instance %s: route not in force: %s", r.Doc.Instance, c))
		}
	}
	slices.Sort(views)
	f.Views = len(views)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		i := newest(all[name])
		f.Instances = append(f.Instances, i)
		f.Differences = append(f.Differences, differences(i, views, all[name])...)
	}
	f.Differences = append(f.Differences, epochs(f.Instances)...)
	slices.SortStableFunc(f.Instances, func(a, b Instance) int { return cmp.Compare(a.Zone, b.Zone) })
	return f
}

func direct(s report.Status) Instance {
	i := Instance{
		Name: s.Instance, Zone: s.Zone, Incarnation: s.Incarnation, State: "alive",
		Epoch: s.Epoch, Lease: "no", Offset: s.ConfigOffset, AgeMS: &s.ConfigAgeMS,
	}
	switch {
	case s.Draining:
		i.State = "draining"
	case !s.Ready:
		i.State = "not ready"
	}
	if s.Lease {
		i.Lease = "yes"
	}
	if u := s.Upstream; u != nil {
		i.Service, i.Upstream = u.Service, u.State
		i.Load = fmt.Sprintf("%d/%d", u.InFlight, u.Limit)
	}
	return i
}

func remote(m report.Member) Instance {
	return Instance{
		Name: m.Instance, Zone: m.Zone, Incarnation: m.Incarnation, State: m.State,
		Service: m.Service, Upstream: m.TargetState, Epoch: m.Epoch, Offset: m.ConfigOffset,
	}
}

// newest returns what the instance says itself, otherwise the statement with
// the highest incarnation and then offset.
func newest(list []viewed) Instance {
	best := slices.MaxFunc(list, func(a, b viewed) int {
		return cmp.Or(
			cmp.Compare(boolInt(a.AgeMS != nil), boolInt(b.AgeMS != nil)),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Offset, b.Offset),
		)
	})
	seenBy := map[string]bool{}
	for _, v := range list {
		seenBy[v.by] = true
	}
	i := best.Instance
	i.SeenBy = len(seenBy)
	return i
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// differences describes in which ways the views of an instance differ. Offsets
// and epochs reach other nodes with a delay, so they are compared only among
// the nodes themselves.
func differences(i Instance, views []string, list []viewed) []string {
	var out []string
	var missing []string
	has := map[string]bool{}
	for _, v := range list {
		has[v.by] = true
	}
	for _, by := range views {
		if !has[by] {
			missing = append(missing, by)
		}
	}
	if len(missing) > 0 {
		out = append(out, fmt.Sprintf("instance %s is not seen by %s", i.Name, strings.Join(missing, ", ")))
	}
	for _, v := range list {
		switch {
		case v.Incarnation != i.Incarnation:
			out = append(out, fmt.Sprintf("instance %s: %s sees incarnation %d, not %d", i.Name, v.by, v.Incarnation, i.Incarnation))
		case v.AgeMS == nil && v.State != "alive":
			out = append(out, fmt.Sprintf("instance %s: %s sees it as %s", i.Name, v.by, v.State))
		case v.Service != i.Service || v.Upstream != i.Upstream:
			out = append(out, fmt.Sprintf("instance %s: %s sees %s, not %s", i.Name, v.by, upstream(v.Instance), upstream(i)))
		}
	}
	return out
}

func upstream(i Instance) string {
	if i.Service == "" {
		return "no upstream"
	}
	return fmt.Sprintf("an upstream of %s, %s", i.Service, i.Upstream)
}

// epochs reports the nodes of a zone that tell different epochs and nodes with
// different configuration offsets.
func epochs(all []Instance) []string {
	var out []string
	byZone := map[string]map[uint64][]string{}
	offsets := map[uint64][]string{}
	for _, i := range all {
		if i.AgeMS == nil {
			continue
		}
		if byZone[i.Zone] == nil {
			byZone[i.Zone] = map[uint64][]string{}
		}
		byZone[i.Zone][i.Epoch] = append(byZone[i.Zone][i.Epoch], i.Name)
		offsets[i.Offset] = append(offsets[i.Offset], i.Name)
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if len(byZone[zone]) > 1 {
			out = append(out, "zone "+zone+": epochs differ: "+groups(byZone[zone]))
		}
	}
	if len(offsets) > 1 {
		out = append(out, "configuration offsets differ: "+groups(offsets))
	}
	return out
}

func groups(m map[uint64][]string) string {
	var parts []string
	for _, n := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d at %s", n, strings.Join(m[n], ", ")))
	}
	return strings.Join(parts, "; ")
}

package nodes

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"dogwoodsill.org/core/report"
)

// Fleet is the state of the fleet, merged from the statuses of several nodes.
type Fleet struct {
	Views       int        `json:"views"` // number of nodes whose status was read
	Instances   []Instance `json:"instances"`
	Differences []string   `json:"differences"`
	Unreachable []Pending  `json:"unreachable,omitempty"`
	Evacuated   []ZoneView `json:"evacuated,omitempty"` // zones that at least one node takes for evacuated
}

// Instance is the state of one instance. Load, Lease and AgeMS are set only if
// its own status was read.
type Instance struct {
	Name        string `json:"instance"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Service     string `json:"service,omitempty"`
	Upstream    string `json:"upstream,omitempty"` // state of the upstream
	Load        string `json:"load,omitempty"`     // calls in flight at the upstream and their limit, as "calls/limit"
	Epoch       uint64 `json:"epoch"`

	Capacity *Capacity `json:"capacity,omitempty"` // of the upstream; nil if the instance has none or its own status was not read
	Lease    string    `json:"lease,omitempty"`    // "yes" or "no"
	Offset   uint64    `json:"configOffset"`
	AgeMS    *int64    `json:"configAgeMs,omitempty"` // -1 before the first configuration, the maximum duration until it is confirmed to be the newest
	SeenBy   int       `json:"seenBy"`                // number of nodes whose status was read and that list the instance
}

// Capacity is what a node knows of the capacity of its upstream.
type Capacity struct {
	Slots        int     `json:"slots"`
	Limit        int     `json:"limit"`
	LearnedLimit int     `json:"learnedLimit,omitempty"` // 0 if it is not in use
	ServiceUS    int64   `json:"serviceUs,omitempty"`    // 0 if unknown
	WorkTime     float64 `json:"workTime,omitempty"`     // 0 if unknown
}

// observation is the state of an instance as reported by one node.
type observation struct {
	observer string
	Instance
}

// Merge combines the statuses of several nodes and lists where they disagree.
// Failed replies are listed as unreachable.
func Merge(replies []Reply[report.Status]) Fleet {
	f := Fleet{Instances: []Instance{}, Differences: []string{}}
	all := map[string][]observation{}
	var observers []string
	for _, r := range replies {
		if r.Err != nil {
			f.Unreachable = append(f.Unreachable, Pending{Addr: r.Addr, Reason: r.Err.Error()})
			continue
		}
		observers = append(observers, r.Doc.Instance)
		own := fromStatus(r.Doc)
		all[own.Name] = append(all[own.Name], observation{r.Doc.Instance, own})
		for _, m := range r.Doc.Members {
			if m.Instance != r.Doc.Instance {
				all[m.Instance] = append(all[m.Instance], observation{r.Doc.Instance, fromMember(m)})
			}
		}
		for _, c := range r.Doc.Conflicts {
			f.Differences = append(f.Differences, fmt.Sprintf("instance %s: route not in force: %s", r.Doc.Instance, c))
		}
	}
	f.Evacuated = mergeEvacuations(replies)
	slices.Sort(observers)
	f.Views = len(observers)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		i := selectObservation(all[name])
		f.Instances = append(f.Instances, i)
		f.Differences = append(f.Differences, differences(i, observers, all[name])...)
	}
	f.Differences = append(f.Differences, offsetDifferences(f.Instances)...)
	slices.SortStableFunc(f.Instances, func(a, b Instance) int { return cmp.Compare(a.Zone, b.Zone) })
	return f
}

func fromStatus(s report.Status) Instance {
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
		i.Capacity = &Capacity{Slots: u.Slots, Limit: u.Limit, LearnedLimit: u.LearnedLimit, ServiceUS: u.ServiceUS, WorkTime: u.WorkTime}
	}
	return i
}

func fromMember(m report.Member) Instance {
	return Instance{
		Name: m.Instance, Zone: m.Zone, Incarnation: m.Incarnation, State: m.State,
		Service: m.Service, Upstream: m.TargetState, Epoch: m.Epoch, Offset: m.ConfigOffset,
	}
}

// selectObservation returns the observation that the instance reports itself or,
// if there is none, the one with the highest incarnation and then the highest
// offset. It sets SeenBy to the number of observers.
func selectObservation(list []observation) Instance {
	best := slices.MaxFunc(list, func(a, b observation) int {
		return cmp.Or(
			cmp.Compare(boolInt(a.AgeMS != nil), boolInt(b.AgeMS != nil)),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Offset, b.Offset),
		)
	})
	seenBy := map[string]bool{}
	for _, v := range list {
		seenBy[v.observer] = true
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

// differences describes how the observations of an instance differ. Offsets and
// epochs reach other nodes with a delay, so they are not compared here but in
// offsetDifferences, and only as each node reports its own.
func differences(i Instance, observers []string, list []observation) []string {
	var out []string
	var missing []string
	has := map[string]bool{}
	for _, v := range list {
		has[v.observer] = true
	}
	for _, by := range observers {
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
			out = append(out, fmt.Sprintf("instance %s: %s sees incarnation %d, not %d", i.Name, v.observer, v.Incarnation, i.Incarnation))
		case v.AgeMS == nil && v.State != "alive":
			out = append(out, fmt.Sprintf("instance %s: %s sees it as %s", i.Name, v.observer, v.State))
		case v.Service != i.Service || v.Upstream != i.Upstream:
			out = append(out, fmt.Sprintf("instance %s: %s sees %s, not %s", i.Name, v.observer, describeUpstream(v.Instance), describeUpstream(i)))
		}
	}
	return out
}

func describeUpstream(i Instance) string {
	if i.Service == "" {
		return "no upstream"
	}
	return fmt.Sprintf("an upstream of %s, %s", i.Service, i.Upstream)
}

// offsetDifferences describes differences in epoch among the nodes of a zone, and
// in configuration offset among all nodes, for nodes whose own status was read.
func offsetDifferences(all []Instance) []string {
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
			out = append(out, "zone "+zone+": epochs differ: "+formatGroups(byZone[zone]))
		}
	}
	if len(offsets) > 1 {
		out = append(out, "configuration offsets differ: "+formatGroups(offsets))
	}
	return out
}

func formatGroups(m map[uint64][]string) string {
	var parts []string
	for _, n := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d at %s", n, strings.Join(m[n], ", ")))
	}
	return strings.Join(parts, "; ")
}

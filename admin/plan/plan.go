package plan

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"dogwoodsill.org/admin/sites"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/route"
)

// Action is what a step does to an object.
type Action string

// Actions.
const (
	Create Action = "create"
	Update Action = "update"
	Delete Action = "delete"
)

// Field is a changed field of an object. Before or After is nil where the
// object has no such field.
type Field struct {
	Name   string `json:"name"`
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// Step is the change of one object.
type Step struct {
	Action Action     `json:"action"`
	Kind   model.Kind `json:"kind"`
	Name   string     `json:"name"`
	Base   uint64     `json:"base"` // revision that the difference is against
	Fields []Field    `json:"fields,omitempty"`
	Body   any        `json:"-"`
}

// Plan is the difference between a site file and the configuration.
type Plan struct {
	Steps []Step `json:"steps"`
	// Extra lists the objects that the file doesn't name and that are kept.
	Extra []config.ObjectID `json:"-"`
}

// New compares a file with the configuration. With prune, objects that the file
// doesn't name are deleted; keys and the fleet never are. It returns an error
// with the place in the file if a route would refer to a missing service or
// conflict with another one.
func New(f *sites.File, v *config.View, prune bool) (*Plan, error) {
	p := &Plan{}
	wanted := map[config.ObjectID]bool{}
	for _, o := range f.Objects() {
		id := config.ObjectID{Kind: o.Kind, Name: o.Name}
		wanted[id] = true
		fields := diff(current(v, id), o.Body)
		action := Update
		if v.Revisions[id] == 0 {
			action = Create
		}
		if action == Create || len(fields) > 0 {
			p.Steps = append(p.Steps, Step{Action: action, Kind: o.Kind, Name: o.Name, Base: v.Revisions[id], Fields: fields, Body: o.Body})
		}
	}
	extra := unnamed(v, wanted)
	if prune {
		for _, id := range extra {
			p.Steps = append(p.Steps, Step{Action: Delete, Kind: id.Kind, Name: id.Name, Base: v.Revisions[id]})
		}
	} else {
		p.Extra = extra
	}
	return p, check(f, v, prune)
}

// unnamed returns the objects that a file could name and doesn't, those that
// refer to others first.
func unnamed(v *config.View, wanted map[config.ObjectID]bool) []config.ObjectID {
	var out []config.ObjectID
	for id := range v.Revisions {
		if id.Kind != model.KindKey && id.Kind != model.KindFleet && !wanted[id] {
			out = append(out, id)
		}
	}
	order := model.Kinds()
	slices.SortFunc(out, func(a, b config.ObjectID) int {
		return cmp.Or(slices.Index(order, b.Kind)-slices.Index(order, a.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// current returns an object of the configuration, nil if there is none.
func current(v *config.View, id config.ObjectID) any {
	if v.Revisions[id] == 0 {
		return nil
	}
	switch id.Kind {
	case model.KindFleet:
		return v.Fleet
	case model.KindCustomer:
		return v.Customers[id.Name]
	case model.KindService:
		return v.Services[id.Name]
	case model.KindRoute:
		return v.Routes[id.Name]
	case model.KindImportance:
		return v.Importance[id.Name]
	default:
		return nil
	}
}

// diff returns the fields in which two objects differ in the form in which the
// log keeps them.
func diff(before, after any) []Field {
	old, fresh := fieldsOf(before), fieldsOf(after)
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range fresh {
		names[name] = true
	}
	var out []Field
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !reflect.DeepEqual(old[name], fresh[name]) {
			out = append(out, Field{Name: name, Before: old[name], After: fresh[name]})
		}
	}
	return out
}

func fieldsOf(v any) map[string]any {
	out := map[string]any{}
	if v == nil {
		return out
	}
	data, err := json.Marshal(v)
	if err == nil {
		_ = json.Unmarshal(data, &out)
	}
	return out
}

// check looks at the configuration as it would be afterwards.
func check(f *sites.File, v *config.View, prune bool) error {
	after := &config.View{Services: maps.Clone(f.Services), Routes: maps.Clone(f.Routes)}
	if after.Services == nil {
		after.Services = map[string]model.Service{}
	}
	if after.Routes == nil {
		after.Routes = map[string]model.Route{}
	}
	if !prune {
		addMissing(after.Services, v.Services)
		addMissing(after.Routes, v.Routes)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Routes)) {
		if _, ok := after.Services[f.Routes[name].Service]; !ok {
			return f.Error(model.KindRoute, name, "service", fmt.Sprintf("there is no service %q", f.Routes[name].Service))
		}
	}
	if list := route.NewTable(after).Conflicts; len(list) > 0 {
		return f.Error(model.KindRoute, conflicting(f, list[0]), "pattern", list[0])
	}
	return nil
}

func addMissing[T any](to, from map[string]T) {
	for name, t := range from {
		if _, ok := to[name]; !ok {
			to[name] = t
		}
	}
}

// conflicting returns the route of the file that a conflict names first.
func conflicting(f *sites.File, conflict string) string {
	found, at := "", len(conflict)
	for _, name := range slices.Sorted(maps.Keys(f.Routes)) {
		if i := strings.Index(conflict, fmt.Sprintf("%q", name)); i >= 0 && i < at {
			found, at = name, i
		}
	}
	return found
}

// Text returns the steps as lines, with a sign for each action.
func (p *Plan) Text() string {
	var b strings.Builder
	signs := map[Action]string{Create: "+", Update: "~", Delete: "-"}
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "%s %s %s\n", signs[s.Action], s.Kind, s.Name)
		for _, f := range s.Fields {
			switch {
			case f.Before == nil:
				fmt.Fprintf(&b, "    + %s = %s\n", f.Name, value(f.After))
			case f.After == nil:
				fmt.Fprintf(&b, "    - %s = %s\n", f.Name, value(f.Before))
			default:
				fmt.Fprintf(&b, "    ~ %s = %s -> %s\n", f.Name, value(f.Before), value(f.After))
			}
		}
	}
	return b.String()
}

func value(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

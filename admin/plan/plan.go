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

// Action is the operation that a step applies to an object.
type Action string

// Supported actions.
const (
	Create Action = "create"
	Update Action = "update"
	Delete Action = "delete"
)

// Field is a field whose value changes. Before is nil if the field is added,
// After is nil if it is removed.
type Field struct {
	Name   string `json:"name"`
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// Step creates, updates or deletes one object.
type Step struct {
	Action Action     `json:"action"`
	Kind   model.Kind `json:"kind"`
	Name   string     `json:"name"`
	Base   uint64     `json:"base"` // revision of the object that the step was computed from; 0 if it doesn't exist
	Fields []Field    `json:"fields,omitempty"`
	Body   any        `json:"-"`
}

// Plan lists the steps that make the configuration match a site file.
type Plan struct {
	Steps []Step `json:"steps"`
	// Extra lists the objects that the file doesn't list and that are kept.
	Extra []config.ObjectID `json:"-"`
}

// New compares a site file with the configuration v. If prune is set, objects
// that the file doesn't list are deleted, except for keys and the fleet. New
// returns an error with the file position if a route refers to a missing service
// or conflicts with another route.
func New(f *sites.File, v *config.View, prune bool) (*Plan, error) {
	p := &Plan{}
	wanted := map[config.ObjectID]bool{}
	for _, o := range f.Objects() {
		id := config.ObjectID{Kind: o.Kind, Name: o.Name}
		wanted[id] = true
		fields := diff(currentObject(v, id), o.Body)
		action := Update
		if v.Revisions[id] == 0 {
			action = Create
		}
		if action == Create || len(fields) > 0 {
			p.Steps = append(p.Steps, Step{Action: action, Kind: o.Kind, Name: o.Name, Base: v.Revisions[id], Fields: fields, Body: o.Body})
		}
	}
	extra := unlistedObjects(v, wanted)
	if prune {
		for _, id := range extra {
			p.Steps = append(p.Steps, Step{Action: Delete, Kind: id.Kind, Name: id.Name, Base: v.Revisions[id]})
		}
	} else {
		p.Extra = extra
	}
	return p, validateResult(f, v, prune)
}

// unlistedObjects returns the configured objects that the site file doesn't
// list, without keys and the fleet, which are never pruned. Objects that refer to
// others come first, so that they are deleted before what they refer to.
func unlistedObjects(v *config.View, wanted map[config.ObjectID]bool) []config.ObjectID {
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

// currentObject returns the object with the given identifier, or nil if it
// doesn't exist.
func currentObject(v *config.View, id config.ObjectID) any {
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

// diff returns the fields that differ between the JSON encodings of two objects,
// which is how the log stores them.
func diff(before, after any) []Field {
	oldFields, newFields := jsonFields(before), jsonFields(after)
	names := map[string]bool{}
	for name := range oldFields {
		names[name] = true
	}
	for name := range newFields {
		names[name] = true
	}
	var out []Field
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !reflect.DeepEqual(oldFields[name], newFields[name]) {
			out = append(out, Field{Name: name, Before: oldFields[name], After: newFields[name]})
		}
	}
	return out
}

func jsonFields(v any) map[string]any {
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

// validateResult checks service references and route conflicts in the
// configuration that results from applying the file.
func validateResult(f *sites.File, v *config.View, prune bool) error {
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
		return f.Error(model.KindRoute, conflictingRoute(f, list[0]), "pattern", list[0])
	}
	return nil
}

// addMissing copies the entries of from whose names are not in to.
func addMissing[T any](to, from map[string]T) {
	for name, t := range from {
		if _, ok := to[name]; !ok {
			to[name] = t
		}
	}
}

// conflictingRoute returns the name of the file's route that the conflict message
// mentions first.
func conflictingRoute(f *sites.File, conflict string) string {
	found, at := "", len(conflict)
	for _, name := range slices.Sorted(maps.Keys(f.Routes)) {
		if i := strings.Index(conflict, fmt.Sprintf("%q", name)); i >= 0 && i < at {
			found, at = name, i
		}
	}
	return found
}

// Text formats the steps as lines that start with +, ~ or - for create, update
// and delete.
func (p *Plan) Text() string {
	var b strings.Builder
	signs := map[Action]string{Create: "+", Update: "~", Delete: "-"}
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "%s %s %s\n", signs[s.Action], s.Kind, s.Name)
		for _, f := range s.Fields {
			switch {
			case f.Before == nil:
				fmt.Fprintf(&b, "    + %s = %s\n", f.Name, formatValue(f.After))
			case f.After == nil:
				fmt.Fprintf(&b, "    - %s = %s\n", f.Name, formatValue(f.Before))
			default:
				fmt.Fprintf(&b, "    ~ %s = %s -> %s\n", f.Name, formatValue(f.Before), formatValue(f.After))
			}
		}
	}
	return b.String()
}

func formatValue(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

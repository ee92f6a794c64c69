package sites

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/setup"
)

// maxFileBytes bounds a site file.
const maxFileBytes = 16 << 20

// Site is the content of a site file.
type Site struct {
	Fleet      *model.Fleet                `toml:"fleet"`
	Customers  map[string]model.Customer   `toml:"customers"`
	Services   map[string]model.Service    `toml:"services"`
	Routes     map[string]model.Route      `toml:"routes"`
	Importance map[string]model.Importance `toml:"importance"`
}

// File is a site with the places of its keys.
type File struct {
	Site
	name  string
	lines map[string]int
}

// tables names the table of a site file that holds the objects of a kind.
var tables = map[model.Kind]string{
	model.KindFleet:      "fleet",
	model.KindCustomer:   "customers",
	model.KindService:    "services",
	model.KindRoute:      "routes",
	model.KindImportance: "importance",
}

// Load reads and checks a site file.
func Load(name string) (*File, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", name, maxFileBytes)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, data)
}

// Parse reads and checks a site. A fault in the file is a *setup.Error with the
// file, line and key.
func Parse(name string, data []byte) (*File, error) {
	if at := show.FindKey(data); at >= 0 {
		line := 1 + bytes.Count(data[:at], []byte("\n"))
		return nil, &setup.Error{File: name, Line: line, Key: "(not shown)", Detail: "the line holds a customer's key; keys are issued with: admin key issue"}
	}
	f := &File{name: name}
	if err := setup.Decode(name, data, &f.Site); err != nil {
		return nil, err
	}
	f.lines = setup.KeyLines(data)
	for _, o := range f.Objects() {
		if err := f.check(o); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Object is one object of a site.
type Object struct {
	Kind model.Kind
	Name string
	Body any // of the type of core/model
}

// Objects returns the objects in the order in which they should be applied.
func (s *Site) Objects() []Object {
	var out []Object
	if s.Fleet != nil {
		out = append(out, Object{model.KindFleet, config.FleetName, *s.Fleet})
	}
	out = collect(out, model.KindCustomer, s.Customers)
	out = collect(out, model.KindService, s.Services)
	out = collect(out, model.KindRoute, s.Routes)
	return collect(out, model.KindImportance, s.Importance)
}

func collect[T any](out []Object, kind model.Kind, all map[string]T) []Object {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		out = append(out, Object{kind, name, all[name]})
	}
	return out
}

// Error returns an error at a field of an object. The line is that of the field
// or, if the field has no line of its own, that of the table around it.
func (f *File) Error(kind model.Kind, name, field, detail string) error {
	object := tables[kind]
	if kind != model.KindFleet {
		object += "." + name
	}
	key := object
	if field != "" {
		key += "." + field
	}
	at := key
	for f.lines[at] == 0 && len(at) > len(object) {
		at = at[:strings.LastIndex(at, ".")]
	}
	return &setup.Error{File: f.name, Line: f.lines[at], Key: key, Detail: detail}
}

// check validates an object as the fold of the configuration does.
func (f *File) check(o Object) error {
	if imp, ok := o.Body.(model.Importance); ok {
		if field, detail := badSelector(imp); detail != "" {
			return f.Error(o.Kind, o.Name, field, detail)
		}
	}
	body, err := json.Marshal(o.Body)
	if err != nil {
		return f.Error(o.Kind, o.Name, "", err.Error())
	}
	err = config.Check(o.Kind, o.Name, body)
	var bad *config.CheckError
	if errors.As(err, &bad) {
		return f.Error(o.Kind, o.Name, f.field(o, bad.Detail), bad.Detail)
	}
	return err
}

func badSelector(i model.Importance) (field, detail string) {
	for _, s := range []struct{ field, text string }{
		{"routes", i.Routes}, {"services", i.Services}, {"customers", i.Customers},
	} {
		if _, err := labels.Parse(s.text); err != nil {
			return s.field, err.Error()
		}
	}
	return "", ""
}

// fields lists the fields that the checks of core/config name in their
// messages, with their places in an object.
var fields = map[string]string{
	"rate": "rate", "burst": "burst",
	"objective": "slos.objective", "latencyMs": "slos.latencyMs", "importance": "slos.importance",
	"service": "service", "pattern": "pattern", "attempts": "attempts", "openRate": "openRate",
	"level": "level", "zone": "zones", "zones": "zones",
}

// field returns the field that the detail of a check starts with.
func (f *File) field(o Object, detail string) string {
	word := strings.TrimRight(strings.SplitN(detail, " ", 2)[0], ":")
	if r, ok := o.Body.(model.Route); ok {
		return routeField(r, word)
	}
	return fields[word]
}

// routeField returns the field of a route that a check found bad, where its
// message names two.
func routeField(r model.Route, word string) string {
	switch {
	case word == "times" && r.TimeoutMS >= 0:
		return "maxConfigAgeMs"
	case word == "times":
		return "timeoutMs"
	case word == "openRate" && r.OpenRate < 0, word == "an" && r.OpenRate == 0:
		return "openRate"
	case word == "openRate" || word == "an":
		return "openBurst"
	default:
		return fields[word]
	}
}

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

// maxFileBytes is the maximum size of a site file.
const maxFileBytes = 16 << 20

// Site is the decoded content of a site file.
type Site struct {
	Fleet      *model.Fleet                `toml:"fleet"`
	Customers  map[string]model.Customer   `toml:"customers"`
	Services   map[string]model.Service    `toml:"services"`
	Routes     map[string]model.Route      `toml:"routes"`
	Importance map[string]model.Importance `toml:"importance"`
}

// File is a site with the line numbers of its TOML keys, for error messages.
type File struct {
	Site
	name  string
	lines map[string]int
}

// tables maps each kind to the TOML table that holds its objects.
var tables = map[model.Kind]string{
	model.KindFleet:      "fleet",
	model.KindCustomer:   "customers",
	model.KindService:    "services",
	model.KindRoute:      "routes",
	model.KindImportance: "importance",
}

// Load reads and validates a site file.
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

// Parse decodes and validates a site. Invalid content is reported as a
// *setup.Error with the file, line and TOML key.
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

// Object is a configuration object declared in a site.
type Object struct {
	Kind model.Kind
	Name string
	Body any // value of the kind's type in core/model
}

// Objects returns the objects in the order in which to apply them: an object
// comes after those that it refers to.
func (s *Site) Objects() []Object {
	var out []Object
	if s.Fleet != nil {
		out = append(out, Object{model.KindFleet, config.FleetName, *s.Fleet})
	}
	out = appendObjects(out, model.KindCustomer, s.Customers)
	out = appendObjects(out, model.KindService, s.Services)
	out = appendObjects(out, model.KindRoute, s.Routes)
	return appendObjects(out, model.KindImportance, s.Importance)
}

func appendObjects[T any](out []Object, kind model.Kind, all map[string]T) []Object {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		out = append(out, Object{kind, name, all[name]})
	}
	return out
}

// Error returns a *setup.Error for a field of an object. The line is that of the
// field or, if the field has no line, of the nearest enclosing table.
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

// check validates an object by the rules that core/config uses when it applies
// changes, and validates label selectors.
func (f *File) check(o Object) error {
	if imp, ok := o.Body.(model.Importance); ok {
		if field, detail := invalidSelector(imp); detail != "" {
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
		return f.Error(o.Kind, o.Name, f.fieldPath(o, bad.Detail), bad.Detail)
	}
	return err
}

func invalidSelector(i model.Importance) (field, detail string) {
	for _, s := range []struct{ field, text string }{
		{"routes", i.Routes}, {"services", i.Services}, {"customers", i.Customers},
	} {
		if _, err := labels.Parse(s.text); err != nil {
			return s.field, err.Error()
		}
	}
	return "", ""
}

// fieldPaths maps the field names in error messages of core/config to their key
// paths within an object.
var fieldPaths = map[string]string{
	"rate": "rate", "burst": "burst",
	"objective": "slos.objective", "latencyMs": "slos.latencyMs", "importance": "slos.importance",
	"service": "service", "pattern": "pattern", "attempts": "attempts", "openRate": "openRate",
	"level": "level", "zone": "zones", "zones": "zones",
}

// fieldPath returns the key path of the field named by the first word of a
// validation error.
func (f *File) fieldPath(o Object, detail string) string {
	word := strings.TrimRight(strings.SplitN(detail, " ", 2)[0], ":")
	if r, ok := o.Body.(model.Route); ok {
		return routeField(r, word)
	}
	return fieldPaths[word]
}

// routeField returns the invalid field of a route. Some validation errors name
// two fields, so the field is chosen by the values of the route.
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
		return fieldPaths[word]
	}
}

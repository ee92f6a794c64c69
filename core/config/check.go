package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"

	"dogwoodsill.org/core/model"
	"k8s.io/apimachinery/pkg/labels"
)

// weightTolerance allows for rounding errors in the sum of zone weights.
const weightTolerance = 1e-9

// Size limits of an object. An object within them fits into one part of a
// snapshot.
const (
	MaxNameBytes = 256
	MaxBodyBytes = 64 << 10
)

// FleetName is the name of the only object of kind fleet.
const FleetName = "fleet"

// CheckError reports why an object or a change to it is invalid.
type CheckError struct {
	Kind   model.Kind
	Name   string
	Detail string
}

// Error implements error.
func (e *CheckError) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Kind, e.Name, e.Detail)
}

// check validates a change against the current object, which has revision 0 if
// it doesn't exist.
func (s *State) check(c *Change, cur Object) error {
	fail := func(detail string) error {
		return &CheckError{Kind: c.Kind, Name: c.Name, Detail: detail}
	}
	if c.Delete {
		switch {
		case cur.Revision == 0:
			return fail("there is no such object")
		case c.Kind == model.KindFleet:
			return fail("the fleet can't be deleted: without it zones could use old and new weights at once")
		}
		return nil
	}
	if err := Check(c.Kind, c.Name, c.Body); err != nil {
		return err
	}
	if c.Kind == model.KindFleet && cur.Revision > 0 {
		if detail := checkWeightChange(cur.Body, c.Body); detail != "" {
			return fail(detail)
		}
	}
	return nil
}

// checkWeightChange rejects a change of zone weights that could exceed 1 in sum
// while some zones already use their new weight and others still use their old
// one. It returns the reason, or the empty string if the change is safe.
func checkWeightChange(before, after []byte) string {
	var old, fresh model.Fleet
	if json.Unmarshal(before, &old) != nil || json.Unmarshal(after, &fresh) != nil {
		return ""
	}
	highest := map[string]float64{}
	for _, z := range slices.Concat(old.Zones, fresh.Zones) {
		highest[z.Name] = max(highest[z.Name], z.Weight)
	}
	var sum float64
	for _, name := range slices.Sorted(maps.Keys(highest)) {
		sum += highest[name]
	}
	if sum > 1+weightTolerance {
		return "lower the weights of the other zones in a change of its own before raising one"
	}
	return ""
}

// Check validates the name and the body of an object. The error is a
// *CheckError.
func Check(kind model.Kind, name string, body []byte) error {
	detail := checkObject(kind, name, body)
	if detail == "" {
		return nil
	}
	return &CheckError{Kind: kind, Name: name, Detail: detail}
}

func checkObject(kind model.Kind, name string, body []byte) string {
	switch {
	case name == "":
		return "name is empty"
	case len(name) > MaxNameBytes || !utf8.ValidString(name):
		return fmt.Sprintf("name must be UTF-8 of at most %d bytes", MaxNameBytes)
	case len(body) > MaxBodyBytes:
		return fmt.Sprintf("body is larger than %d bytes", MaxBodyBytes)
	}
	switch kind {
	case model.KindCustomer:
		return checkBody(body, checkCustomer)
	case model.KindKey:
		return checkBody(body, checkKey)
	case model.KindService:
		return checkBody(body, checkService)
	case model.KindRoute:
		return checkBody(body, checkRoute)
	case model.KindImportance:
		return checkBody(body, checkImportance)
	case model.KindFleet:
		if name != FleetName {
			return "the only fleet object is named " + FleetName
		}
		return checkBody(body, checkFleet)
	default:
		return "unknown kind"
	}
}

func checkBody[T any](body []byte, check func(T) string) string {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var v *T // nil after the JSON value null
	if err := dec.Decode(&v); err != nil {
		return err.Error()
	}
	if v == nil {
		return "body is null"
	}
	if _, err := dec.Token(); err != io.EOF {
		return "body holds more than one value"
	}
	return check(*v)
}

func checkCustomer(c model.Customer) string {
	if !(c.Rate > 0) || math.IsInf(c.Rate, 0) {
		return "rate must be above 0"
	}
	if c.Burst < 1 {
		return "burst must be at least 1"
	}
	return ""
}

func checkKey(k model.Key) string {
	if k.Customer == "" {
		return "customer is empty"
	}
	b, err := hex.DecodeString(k.Digest)
	if err != nil || len(b) != sha256.Size || strings.ToLower(k.Digest) != k.Digest {
		return "digest must be 64 lower-case hexadecimal digits"
	}
	return ""
}

func checkService(s model.Service) string {
	if s.ColdPerSecond < 0 || s.ColdPerSecond > model.MaxColdPerSecond {
		return fmt.Sprintf("coldPerSecond must lie between 0 and %d", model.MaxColdPerSecond)
	}
	for _, o := range s.SLOs {
		switch {
		case !(o.Objective > 0 && o.Objective < 1):
			return "objective must lie between 0 and 1"
		case o.LatencyMS < 0:
			return "latencyMs must not be negative"
		case o.Importance != nil && (*o.Importance < 0 || *o.Importance > model.MaxLevel):
			return fmt.Sprintf("importance must lie between 0 and %d", model.MaxLevel)
		}
	}
	return ""
}

func checkRoute(r model.Route) string {
	switch {
	case r.Service == "":
		return "service is empty"
	case r.TimeoutMS < 0 || r.MaxConfigAgeMS < 0:
		return "times must not be negative"
	case r.Attempts < 0:
		return "attempts must not be negative"
	case r.OpenRate < 0 || r.OpenBurst < 0:
		return "openRate and openBurst must not be negative"
	case r.Open && (r.OpenRate == 0 || r.OpenBurst == 0):
		return "an open route needs openRate and openBurst"
	}
	return checkPattern(r.Pattern)
}

// checkPattern validates a route pattern by registering it with a ServeMux,
// which panics if the pattern is invalid.
func checkPattern(pattern string) (detail string) {
	defer func() {
		if r := recover(); r != nil {
			detail = fmt.Sprintf("pattern: %v", r)
		}
	}()
	http.NewServeMux().Handle(pattern, http.NotFoundHandler())
	return ""
}

func checkImportance(i model.Importance) string {
	if i.Level < 0 || i.Level > model.MaxLevel {
		return fmt.Sprintf("level must lie between 0 and %d", model.MaxLevel)
	}
	for _, sel := range []string{i.Routes, i.Services, i.Customers} {
		if _, err := labels.Parse(sel); err != nil {
			return err.Error()
		}
	}
	return ""
}

func checkFleet(f model.Fleet) string {
	if l := f.Callers; l.BodyBytes < 0 || l.HeaderBytes < 0 || l.IdleTimeoutMS < 0 {
		return "limits of callers must not be negative"
	}
	var sum float64
	seen := map[string]bool{}
	for _, z := range f.Zones {
		if z.Name == "" || seen[z.Name] {
			return "zone names must be unique and not empty"
		}
		if z.Weight < 0 {
			return "zone weights must not be negative"
		}
		seen[z.Name] = true
		sum += z.Weight
	}
	if sum > 1+weightTolerance {
		return "zone weights add up to more than 1"
	}
	return ""
}

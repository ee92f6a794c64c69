package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"

	"dogwoodsill.org/core/model"
	"k8s.io/apimachinery/pkg/labels"
)

// weightSlack allows for rounding in the sum of zone weights.
const weightSlack = 1e-9

// CheckError says why the body of an object is not valid.
type CheckError struct {
	Kind   model.Kind
	Name   string
	Detail string
}

// Error implements error.
func (e *CheckError) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Kind, e.Name, e.Detail)
}

func (s *State) check(c *Change) error {
	if c.Name == "" {
		return &CheckError{Kind: c.Kind, Name: c.Name, Detail: "name is empty"}
	}
	if c.Delete {
		return nil
	}
	return Check(c.Kind, c.Name, c.Body)
}

// Check validates the body of an object. It returns a *CheckError.
func Check(kind model.Kind, name string, body []byte) error {
	var detail string
	switch kind {
	case model.KindCustomer:
		detail = checkBody(body, checkCustomer)
	case model.KindKey:
		detail = checkBody(body, checkKey)
	case model.KindService:
		detail = checkBody(body, checkService)
	case model.KindRoute:
		detail = checkBody(body, checkRoute)
	case model.KindImportance:
		detail = checkBody(body, checkImportance)
	case model.KindFleet:
		detail = checkBody(body, checkFleet)
	default:
		detail = "unknown kind"
	}
	if detail == "" {
		return nil
	}
	return &CheckError{Kind: kind, Name: name, Detail: detail}
}

func checkBody[T any](body []byte, check func(T) string) string {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var v T
	if err := dec.Decode(&v); err != nil {
		return err.Error()
	}
	return check(v)
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
	if b, err := hex.DecodeString(k.Digest); err != nil || len(b) != 32 {
		return "digest must be 64 hexadecimal digits"
	}
	return ""
}

func checkService(s model.Service) string {
	for _, o := range s.SLOs {
		if !(o.Objective > 0 && o.Objective < 1) {
			return "objective must lie between 0 and 1"
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
	case r.Open && r.OpenRate == 0:
		return "an open route needs openRate and openBurst"
	}
	return checkPattern(r.Pattern)
}

// checkPattern lets net/http parse the pattern; ServeMux panics on a bad one.
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
	if sum > 1+weightSlack {
		return "zone weights add up to more than 1"
	}
	return ""
}

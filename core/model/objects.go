package model

// Kind is the type of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindCustomer   Kind = "customer"
	KindKey        Kind = "key"
	KindService    Kind = "service"
	KindRoute      Kind = "route"
	KindImportance Kind = "importance"
	KindFleet      Kind = "fleet"
)

// Kinds returns all kinds in the order in which objects should be applied, so
// that each object is applied after those that it refers to.
func Kinds() []Kind {
	return []Kind{KindFleet, KindCustomer, KindKey, KindService, KindRoute, KindImportance}
}

// Customer owns keys. Its requests are limited to a rate and a burst over the
// whole fleet.
type Customer struct {
	Labels map[string]string `json:"labels,omitempty" toml:"labels,omitempty"`
	Rate   float64           `json:"rate" toml:"rate"`   // requests per second
	Burst  int64             `json:"burst" toml:"burst"` // requests
	// Unlimited disables the limits of rate and burst.
	Unlimited bool `json:"unlimited,omitempty" toml:"unlimited,omitempty"`
	// Priority is the priority of the customer under overload; 0 is the highest.
	// It applies only to routes that have a priority.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
}

// Key describes a customer's key. The name of the object is the key's
// identifier. The key itself is never stored.
type Key struct {
	Customer string `json:"customer" toml:"customer"`
	Digest   string `json:"digest" toml:"digest"` // SHA-256 of the key, lower-case hexadecimal
	Revoked  bool   `json:"revoked,omitempty" toml:"revoked,omitempty"`
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Labels map[string]string `json:"labels,omitempty" toml:"labels,omitempty"`
	SLOs   []SLO             `json:"slos,omitempty" toml:"slos,omitempty"`
	// ColdPerSecond is the number of calls per second, from all nodes together, that a cold upstream
	// of the service handles; 0 for no limit.
	ColdPerSecond int `json:"coldPerSecond,omitempty" toml:"coldPerSecond,omitempty"`
	// LearnCapacity makes the nodes learn how many calls an upstream handles at a time and how
	// fast it is, also if the upstream reports no work time.
	LearnCapacity bool `json:"learnCapacity,omitempty" toml:"learnCapacity,omitempty"`
}

// MaxColdPerSecond is the largest value of ColdPerSecond. A node keeps the time of as many calls.
const MaxColdPerSecond = 1 << 16

// SLO is a service level objective for calls to a service.
type SLO struct {
	Importance *int    `json:"importance,omitempty" toml:"importance,omitempty"` // nil for every importance
	Objective  float64 `json:"objective" toml:"objective"`                       // fraction of good calls, in (0, 1)
	LatencyMS  int64   `json:"latencyMs,omitempty" toml:"latencyMs,omitempty"`   // slower calls are not good; 0 for no limit
}

// Route maps requests to a service.
type Route struct {
	Pattern        string            `json:"pattern" toml:"pattern"` // syntax of net/http.ServeMux
	Service        string            `json:"service" toml:"service"`
	Labels         map[string]string `json:"labels,omitempty" toml:"labels,omitempty"`
	Open           bool              `json:"open,omitempty" toml:"open,omitempty"`           // needs no key
	OpenRate       float64           `json:"openRate,omitempty" toml:"openRate,omitempty"`   // requests per second without a key, over the whole fleet
	OpenBurst      int64             `json:"openBurst,omitempty" toml:"openBurst,omitempty"` // requests without a key, over the whole fleet
	Internal       bool              `json:"internal,omitempty" toml:"internal,omitempty"`   // accepts only calls from upstreams within a call chain
	Idempotent     bool              `json:"idempotent,omitempty" toml:"idempotent,omitempty"`
	AtMostOnce     bool              `json:"atMostOnce,omitempty" toml:"atMostOnce,omitempty"` // requires an Idempotency-Key
	TimeoutMS      int64             `json:"timeoutMs,omitempty" toml:"timeoutMs,omitempty"`
	Attempts       int               `json:"attempts,omitempty" toml:"attempts,omitempty"` // attempt budget of the whole call chain
	MaxConfigAgeMS int64             `json:"maxConfigAgeMs,omitempty" toml:"maxConfigAgeMs,omitempty"`
	// OpenUnlimited disables the limits of requests without a key.
	OpenUnlimited bool `json:"openUnlimited,omitempty" toml:"openUnlimited,omitempty"`
	// SingleRun marks requests that must not run twice, whatever their method, but
	// need no idempotency key.
	SingleRun bool `json:"singleRun,omitempty" toml:"singleRun,omitempty"`
	// Split distributes the requests over services by weight. It replaces Service.
	Split []Part `json:"split,omitempty" toml:"split,omitempty"`
	// Priority is the priority of the route under overload; 0 is the highest. It
	// replaces the importance rules.
	Priority *int `json:"priority,omitempty" toml:"priority,omitempty"`
	// LatencyGoalMS is the response time in milliseconds up to which a response
	// has its full value to the caller; 0 if not known.
	LatencyGoalMS int64 `json:"goalMs,omitempty" toml:"goalMs,omitempty"`
}

// Importance is a rule that assigns an importance to the requests that match all
// its selectors. An empty selector matches everything. Of several matching rules
// the one with the lowest Order applies; among equals, the one with the lowest
// name.
type Importance struct {
	Order     int    `json:"order" toml:"order"`
	Routes    string `json:"routes,omitempty" toml:"routes,omitempty"`       // label selector
	Services  string `json:"services,omitempty" toml:"services,omitempty"`   // label selector
	Customers string `json:"customers,omitempty" toml:"customers,omitempty"` // label selector
	Level     int    `json:"level" toml:"level"`                             // 0 is the most important, MaxLevel the least
}

// Levels of importance.
const (
	MaxLevel     = 7
	DefaultLevel = 4
)

// Fleet holds the weights of the availability zones and the limits for all
// callers. Its only object is named "fleet".
type Fleet struct {
	Zones   []ZoneWeight `json:"zones" toml:"zones"`
	Callers CallerLimits `json:"callers,omitzero" toml:"callers,omitempty"`
}

// CallerLimits limits the sizes of callers' requests and the time for which their
// idle connections stay open. A value of 0 leaves the limit to the settings of
// each node; otherwise the stricter of the two applies.
type CallerLimits struct {
	BodyBytes     int64 `json:"bodyBytes,omitempty" toml:"bodyBytes,omitempty"`
	HeaderBytes   int64 `json:"headerBytes,omitempty" toml:"headerBytes,omitempty"`
	IdleTimeoutMS int64 `json:"idleTimeoutMs,omitempty" toml:"idleTimeoutMs,omitempty"` // of connections without a request
}

// ZoneWeight is a zone's fraction of every customer's rate and burst. The weights
// of a fleet add up to at most 1.
type ZoneWeight struct {
	Name   string  `json:"name" toml:"name"`
	Weight float64 `json:"weight" toml:"weight"`
}

// EqualZoneWeights returns the given zones with equal weights that add up to 1.
func EqualZoneWeights(names []string) []ZoneWeight {
	var zones []ZoneWeight
	for _, name := range names {
		zones = append(zones, ZoneWeight{Name: name, Weight: 1 / float64(len(names))})
	}
	return zones
}

// Part is one of the services over which a route distributes its
// requests.
type Part struct {
	Service string  `json:"service" toml:"service"`
	Weight  float64 `json:"weight" toml:"weight"`
}

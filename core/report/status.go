package report

import (
	"time"

	"dogwoodsill.org/core/super"
)

// Status is the status document of one node.
type Status struct {
	Instance     string         `json:"instance"`
	Zone         string         `json:"zone"`
	Incarnation  uint64         `json:"incarnation"`
	Ready        bool           `json:"ready"`
	Draining     bool           `json:"draining"`
	ConfigOffset uint64         `json:"configOffset"` // offset after the last applied configuration record
	ConfigDigest string         `json:"configDigest"` // equal on nodes that apply the same revisions
	ConfigAgeMS  int64          `json:"configAgeMs"`  // time since the configuration was last confirmed as the newest; -1 if never
	Epoch        uint64         `json:"epoch"`        // epoch of the adopted member list of the node's zone
	Lease        bool           `json:"lease"`        // whether the node holds a valid zone lease
	Shares       int            `json:"shares"`       // number of rate shares that the node holds
	Upstream     *Upstream      `json:"upstream,omitempty"`
	Members      []Member       `json:"members"`
	Tasks        []super.Status `json:"duties"`              // background tasks; duties on the wire
	Conflicts    []string       `json:"conflicts,omitempty"` // routes that are not applied
	Spilled      []Spill        `json:"spilled,omitempty"`   // services whose targets are chosen by expected completion
	// Evacuation is nil on nodes that don't know which zones are evacuated.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
}

// Evacuation is what a node knows of evacuated zones.
type Evacuation struct {
	Era    uint64          `json:"era"`    // position of the log as of which the node knows it
	Offset uint64          `json:"offset"` // as above
	AgeMS  int64           `json:"ageMs"`  // time since it was last confirmed as the newest
	Zones  []EvacuatedZone `json:"zones"`
}

// EvacuatedZone is a zone that is evacuated.
type EvacuatedZone struct {
	Zone  string    `json:"zone"`
	Since time.Time `json:"since"` // when a node read the request of the operator first
}

// Spill is the fraction of a node's recent calls to a service that went to
// another zone.
type Spill struct {
	Service  string  `json:"service"`
	Zone     string  `json:"zone"`
	Fraction float64 `json:"fraction"`
}

// Upstream is the state of the upstream beside a node.
type Upstream struct {
	ID        string  `json:"id,omitempty"` // process ID, if the platform provides one
	Service   string  `json:"service"`
	Addr      string  `json:"addr"`
	State     string  `json:"state"`
	Slots     int     `json:"slots"`
	InFlight  int     `json:"inFlight"`
	Limit     int     `json:"limit"`               // concurrency limit; 0 for no limit
	RateLimit float64 `json:"rateLimit,omitempty"` // calls per second that the upstream accepts; 0 for no limit

	LearnedLimit int     `json:"learnedLimit,omitempty"` // learned concurrency limit; 0 if it is not in use
	ServiceUS    int64   `json:"serviceUs,omitempty"`    // learned microseconds of a typical call without child calls; 0 if unknown
	WorkTime     float64 `json:"workTime,omitempty"`     // reported work time as a multiple of the usual; 0 if unknown
}

// Member is the state of a node in the member list of the reporting node.
type Member struct {
	Instance     string `json:"instance"`
	Zone         string `json:"zone"`
	Addr         string `json:"addr"`
	Incarnation  uint64 `json:"incarnation"`
	State        string `json:"state"`
	Service      string `json:"service,omitempty"`
	TargetState  string `json:"targetState,omitempty"`
	ConfigOffset uint64 `json:"configOffset"`
	Epoch        uint64 `json:"epoch"`
}

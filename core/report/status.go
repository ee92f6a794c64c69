package report

import "dogwoodsill.org/core/super"

// Status is the state of one node.
type Status struct {
	Instance     string         `json:"instance"`
	Zone         string         `json:"zone"`
	Incarnation  uint64         `json:"incarnation"`
	Ready        bool           `json:"ready"`
	Draining     bool           `json:"draining"`
	ConfigOffset uint64         `json:"configOffset"` // offset after the last folded record
	ConfigDigest string         `json:"configDigest"` // equal where the same revisions are in force
	ConfigAgeMS  int64          `json:"configAgeMs"`  // since the configuration was confirmed to be the newest; -1 before
	Epoch        uint64         `json:"epoch"`        // adopted member list epoch of the own zone
	Lease        bool           `json:"lease"`        // the zone lease is valid
	Shares       int            `json:"shares"`       // rate shares that the node holds
	Upstream     *Upstream      `json:"upstream,omitempty"`
	Members      []Member       `json:"members"`
	Tasks        []super.Status `json:"duties"`
	Conflicts    []string       `json:"conflicts,omitempty"` // routes that are not in force
}

// Upstream is the upstream beside a node.
type Upstream struct {
	ID       string `json:"id,omitempty"` // of its process, where the platform tells it
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"inFlight"`
	Limit    int    `json:"limit"` // concurrency limit; 0 for none
}

// Member is a node as another node sees it.
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

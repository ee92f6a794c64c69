package config

import (
	"encoding/json"

	"dogwoodsill.org/core/model"
)

// Record is an entry of the configuration stream. Exactly one field is set.
type Record struct {
	Change   *Change   `json:"change,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Change creates, replaces or deletes one object.
type Change struct {
	ID     string          `json:"id"` // unique, so that a repeated append of the change has no effect
	Kind   model.Kind      `json:"kind"`
	Name   string          `json:"name"`
	Base   uint64          `json:"base"` // revision of the object that the change is based on; 0 for a new object
	Delete bool            `json:"delete,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Object is the stored form of a configuration object.
type Object struct {
	Kind     model.Kind      `json:"kind"`
	Name     string          `json:"name"`
	Created  uint64          `json:"created"`  // revision of the change that created it
	Revision uint64          `json:"revision"` // offset of the accepted change plus one
	Body     json.RawMessage `json:"body"`
}

// Outcome records whether a change was accepted.
type Outcome struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision,omitempty"` // revision of the object after the change, or the current one if the change was rejected
	Reason   string `json:"reason,omitempty"`   // why the change was rejected
}

// Snapshot is the state after all records before its offset, or a part of that
// state.
type Snapshot struct {
	ID       string    `json:"id,omitempty"`    // the same in all parts of a snapshot
	Part     int       `json:"part,omitempty"`  // index of the part, starting at 0
	Parts    int       `json:"parts,omitempty"` // number of parts; 0 and 1 mean that this is the whole snapshot
	Offset   uint64    `json:"offset"`
	Objects  []Object  `json:"objects"`
	Outcomes []Outcome `json:"outcomes"`
}

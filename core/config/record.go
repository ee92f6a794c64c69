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
	ID     string          `json:"id"` // unique; a repeated append of the change has no effect
	Kind   model.Kind      `json:"kind"`
	Name   string          `json:"name"`
	Base   uint64          `json:"base"` // revision of the object that was changed; 0 for a new object
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

// Outcome is the result of a change.
type Outcome struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision,omitempty"` // revision of the object after the change, or the one that won
	Reason   string `json:"reason,omitempty"`   // why the change was rejected
}

// Snapshot is a state that covers all records before its offset, or one of
// several parts of it.
type Snapshot struct {
	ID       string    `json:"id,omitempty"`    // ties parts together
	Part     int       `json:"part,omitempty"`  // number of the part, from 0
	Parts    int       `json:"parts,omitempty"` // number of parts; 0 and 1 mean that this is the whole
	Offset   uint64    `json:"offset"`
	Objects  []Object  `json:"objects"`
	Outcomes []Outcome `json:"outcomes"`
}

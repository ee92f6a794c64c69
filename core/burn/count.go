package burn

import (
	"time"

	"dogwoodsill.org/core/model"
)

const (
	// Slot is the length of a time slot. The shortest alert window has five slots.
	Slot = time.Minute
	// Retention is the time for which slots are retained: the longest alert window.
	Retention = 6 * time.Hour
	// MaxSeries is the maximum number of series in a slot, not counting the one for
	// all other requests, with which a slot has up to 112. A Go map doubles its size
	// at 113 entries: 361 full slots take 4.0 MB of heap, of the 64 MB of a node, and
	// took 7.9 MB with 129 series.
	MaxSeries = 111
	// maxNamedSeries is the number of series in a slot at which further customers
	// are counted together. The remaining series are reserved for these totals.
	maxNamedSeries = 96
	// Other is the customer name, and beyond MaxSeries also the service name, for
	// requests without a series of their own.
	Other = "(other)"
	// RetainedSlots is the number of retained slots, including the current one.
	RetainedSlots = int64(Retention/Slot) + 1
)

// Series identifies requests that are counted together.
type Series struct {
	Service    string `json:"service"`
	Importance int    `json:"importance"`
	Customer   string `json:"customer"` // empty for requests without a key
	// LatencyMS is the latency limit above which a request counts as bad; 0 for no
	// limit. Every request is counted in the series without a limit, and in one
	// series for each latency limit of the objectives that apply to it.
	LatencyMS int64 `json:"latencyMs,omitempty"`
}

// Counts holds numbers of requests by outcome.
type Counts struct {
	Total  int64 `json:"total"`  // requests that count towards an objective
	Bad    int64 `json:"bad"`    // failed, refused inside the customer's rate, or above the latency limit
	Inside int64 `json:"inside"` // refused and not run although inside the customer's rate
	Over   int64 `json:"over"`   // refused above the customer's rate; not included in Total
}

// Add adds other counts.
func (c *Counts) Add(o Counts) {
	c.Total += o.Total
	c.Bad += o.Bad
	c.Inside += o.Inside
	c.Over += o.Over
}

// Outcome classifies how a request ended.
type Outcome uint8

// Outcomes.
const (
	Good              Outcome = iota
	Failed                    // by a fault of the fleet or the upstream
	RefusedInsideRate         // refused and not run although inside the customer's rate
	RefusedOverRate           // refused above the customer's rate
	Ignored                   // failed or cancelled by the caller; not counted
)

// Request is a finished request.
type Request struct {
	Service    string
	Importance int
	Customer   string
	Outcome    Outcome
	Latency    time.Duration
}

// Applies reports whether an objective applies to requests of an importance.
func Applies(o model.SLO, importance int) bool {
	return o.Importance == nil || *o.Importance == importance
}

// Document holds the counts of one process. The counts of different processes can
// be added.
type Document struct {
	Instance     string                 `json:"instance"`
	Incarnation  uint64                 `json:"incarnation"`
	Now          time.Time              `json:"now"`
	SlotMS       int64                  `json:"slotMs"`
	ConfigOffset uint64                 `json:"configOffset"` // offset of the configuration that defines the objectives
	Objectives   map[string][]model.SLO `json:"objectives"`   // by service
	Series       []SeriesSlots          `json:"series"`
}

// SeriesSlots holds the counts of one series by slot.
type SeriesSlots struct {
	Series
	Slots []SlotCounts `json:"slots"`
}

// SlotCounts holds the counts of one slot.
type SlotCounts struct {
	Slot int64 `json:"slot"` // number of the slot since the Unix epoch
	Counts
}

func slotNumber(now time.Time) int64 {
	return now.UnixNano() / int64(Slot)
}

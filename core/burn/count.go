package burn

import (
	"time"

	"dogwoodsill.org/core/model"
)

const (
	// Slot is the length of a time slot. The shortest window has five.
	Slot = time.Minute
	// Retention is the time for which slots are kept: the longest window.
	Retention = 6 * time.Hour
	// MaxSeries bounds the series of a slot, with one more for all others. A map of
	// 112 entries is half as large as one of 113: with all slots full, 361 slots
	// take 4.0 MB of heap, of the 64 MB of a node, and took 7.9 MB with 129 series.
	MaxSeries = 111
	// maxNamed is the number of series of a slot from which on customers that have
	// none yet are counted together. The rest is left for these.
	maxNamed = 96
	// Other is the customer, and beyond MaxSeries also the service, under which
	// requests are counted that have no series of their own.
	Other = "(other)"
	// RetainedSlots is the number of slots that are kept, the one that still fills included.
	RetainedSlots = int64(Retention/Slot) + 1
)

// Series names what is counted together.
type Series struct {
	Service    string `json:"service"`
	Importance int    `json:"importance"`
	Customer   string `json:"customer"` // empty for requests without a key
	// LatencyMS is the limit above which a request counts as bad; 0 for none. Every
	// request counts in the series without a limit and in one series for each limit
	// of the objectives that apply to it.
	LatencyMS int64 `json:"latencyMs,omitempty"`
}

// Counts are the requests of a series in some time.
type Counts struct {
	Total  int64 `json:"total"`  // requests that count towards an objective
	Bad    int64 `json:"bad"`    // failed, refused by the system, or slower than the limit
	Inside int64 `json:"inside"` // refused and not run although inside the customer's rate
	Over   int64 `json:"over"`   // refused above the customer's rate; not part of Total
}

// Add adds other counts.
func (c *Counts) Add(o Counts) {
	c.Total += o.Total
	c.Bad += o.Bad
	c.Inside += o.Inside
	c.Over += o.Over
}

// Outcome is how a request ended.
type Outcome uint8

// Outcomes.
const (
	Good              Outcome = iota
	Failed                    // by the system or the upstream
	RefusedInsideRate         // refused and not run although inside the customer's rate
	RefusedOverRate           // refused above the customer's rate
	Ignored                   // by a fault or wish of the caller; counts nowhere
)

// Request is a finished request.
type Request struct {
	Service    string
	Importance int
	Customer   string
	Outcome    Outcome
	Latency    time.Duration
}

// Applies reports whether an objective counts requests of an importance.
func Applies(o model.SLO, importance int) bool {
	return o.Importance == nil || *o.Importance == importance
}

// Document is what one process counted. Documents of different processes add
// up.
type Document struct {
	Instance     string                 `json:"instance"`
	Incarnation  uint64                 `json:"incarnation"`
	Now          time.Time              `json:"now"`
	SlotMS       int64                  `json:"slotMs"`
	ConfigOffset uint64                 `json:"configOffset"` // configuration that the objectives are from
	Objectives   map[string][]model.SLO `json:"objectives"`   // by service
	Series       []SeriesSlots          `json:"series"`
}

// SeriesSlots holds the counts of one series by slot.
type SeriesSlots struct {
	Series
	Slots []SlotCounts `json:"slots"`
}

// SlotCounts are the counts of one slot.
type SlotCounts struct {
	Slot int64 `json:"slot"` // number of the slot since the Unix epoch
	Counts
}

func slotOf(now time.Time) int64 {
	return now.UnixNano() / int64(Slot)
}

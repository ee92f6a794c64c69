package agent

import (
	"sync"
	"time"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/model"
)

// burned counts finished requests. It is safe for concurrent use.
type burned struct {
	mu  sync.Mutex
	rec *burn.Recorder
}

func newBurned() *burned {
	return &burned{rec: burn.NewRecorder()}
}

// Count implements entry.Counter.
func (b *burned) Count(now time.Time, q burn.Request, objectives []model.SLO) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rec.Record(now, q, objectives)
}

// series copies the counts slot by slot, so that requests don't wait for the
// whole copy.
func (b *burned) series(now time.Time) []burn.SeriesSlots {
	var all []burn.Entry
	for i := range int(burn.Slots) {
		all = append(all, b.place(i, now)...)
	}
	return burn.Group(all)
}

func (b *burned) place(i int, now time.Time) []burn.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rec.Place(i, now)
}

// BurnCounts returns what the node counted for the burn report.
func (a *Agent) BurnCounts() burn.Document {
	now := time.Now()
	d := burn.Document{
		Instance:    a.cfg.Instance.Name,
		Incarnation: a.incarnation,
		Now:         now,
		SlotMS:      burn.Slot.Milliseconds(),
		Series:      a.burned.series(now),
	}
	cur := a.store.Current()
	if cur == nil {
		return d
	}
	d.Offset = cur.View.Next
	d.Objectives = map[string][]model.SLO{}
	for name, s := range cur.View.Services {
		if len(s.SLOs) > 0 {
			d.Objectives[name] = s.SLOs
		}
	}
	return d
}

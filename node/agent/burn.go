package agent

import (
	"sync"
	"time"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/model"
)

// burnRecorder counts finished requests for the burn report, which shows how fast
// the error budgets of service level objectives are consumed. It is safe for
// concurrent use.
type burnRecorder struct {
	mu       sync.Mutex
	recorder *burn.Recorder
}

func newBurnRecorder() *burnRecorder {
	return &burnRecorder{recorder: burn.NewRecorder()}
}

// Count implements entry.Counter.
func (b *burnRecorder) Count(now time.Time, q burn.Request, objectives []model.SLO) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorder.Record(now, q, objectives)
}

// series copies the counts. It locks for one time slot after the other, so that
// requests don't wait for the whole copy.
func (b *burnRecorder) series(now time.Time) []burn.SeriesSlots {
	var all []burn.Entry
	for i := range int(burn.Slots) {
		all = append(all, b.slotEntries(i, now)...)
	}
	return burn.Group(all)
}

func (b *burnRecorder) slotEntries(i int, now time.Time) []burn.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recorder.Place(i, now)
}

// BurnCounts returns the request counts of the node for the burn report.
func (a *Agent) BurnCounts() burn.Document {
	now := time.Now()
	d := burn.Document{
		Instance:    a.cfg.Instance.Name,
		Incarnation: a.incarnation,
		Now:         now,
		SlotMS:      burn.Slot.Milliseconds(),
		Series:      a.burnCounts.series(now),
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

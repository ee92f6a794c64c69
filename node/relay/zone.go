package relay

import (
	"context"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
)

// suspensionTick is the time between two checks whether the process was suspended.
const suspensionTick = 250 * time.Millisecond

// WithZone makes the target refuse new calls while the given zone, that of its node, is evacuated.
func WithZone(zone string) TargetOption {
	return func(t *Target) { t.zone = zone }
}

// WithZoneConfirmation makes the target refuse new calls after a suspension of the process until the
// state of the zones is confirmed again. It is for platforms that bound the time in which an
// evacuation takes effect.
func WithZoneConfirmation() TargetOption {
	return func(t *Target) { t.confirmsZone = true }
}

// checkZone returns a refusal if the zone of the node is evacuated. Directly after a suspension of
// the process it may be, until the state of the zones is confirmed again.
func (t *Target) checkZone() *refuse.Error {
	if t.zone == "" {
		return nil
	}
	now := boot.Now()
	suspended := t.tick(now)
	if state, _ := t.store.Evacuation(); state.Evacuated(t.zone) {
		t.metrics.Add(metric.EvacuatedRefused, 1)
		return refuse.New(refuse.NoUpstream, "zone %q is evacuated", t.zone).WithRetryAfter(time.Second)
	}
	if !suspended || !t.confirmsZone {
		return nil
	}
	asOf, _ := t.store.EvacuationKnown()
	t.watchMu.Lock()
	defer t.watchMu.Unlock()
	if t.watch.Stale(now, asOf) {
		t.metrics.Add(metric.EvacuatedRefused, 1)
		return refuse.New(refuse.NoUpstream, "the node was suspended and doesn't know yet whether zone %q is evacuated", t.zone).WithRetryAfter(time.Second)
	}
	return nil
}

// WatchSuspension is the background task that notices when the process was suspended.
func (t *Target) WatchSuspension(ctx context.Context) error {
	return super.Every(ctx, suspensionTick, func(time.Time) {
		t.tick(boot.Now())
	})
}

// tick records that the process runs, and reports whether it was ever suspended. After a suspension,
// the upstream may have become cold unnoticed.
func (t *Target) tick(now time.Time) (suspended bool) {
	t.watchMu.Lock()
	defer t.watchMu.Unlock()
	if t.watch.Tick(now) {
		t.ForgetCold(time.Now())
	}
	return t.watch.Resumed()
}

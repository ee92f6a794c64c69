package agent

import (
	"context"
	"time"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/core/super"
)

const (
	// memoryLogInterval is the least time between two log lines about exhausted memory.
	memoryLogInterval = time.Second
	// connectionPercent is the percentage of the file descriptors that connections of all
	// callers may use. The rest is for peers, the upstream and files.
	connectionPercent = 70
)

// newMemoryPool returns the pool of the memory that callers and links may occupy.
func newMemoryPool(l setup.Limits) *budget.Pool {
	return budget.New(budget.PoolBytes(l.MemoryMB), l.Descriptors*connectionPercent/100)
}

// linkMemory returns the account of the unread bytes of all links. It never gives way to callers:
// a stream whose reader has stopped is reset instead.
func (a *Agent) linkMemory(now time.Time) *budget.Account {
	m, _ := a.memory.Open(0, func() {}, now) // the first account always has room
	m.Pin()
	return m
}

// logMemory is the background task that logs that connections had to give way or were refused
// for lack of memory.
func (a *Agent) logMemory(ctx context.Context) error {
	var before budget.Stats
	return super.Every(ctx, memoryLogInterval, func(time.Time) {
		s := a.memory.Stats()
		if s.Evicted != before.Evicted || s.Refused != before.Refused {
			a.log.Warn("the memory for callers is in use", "bytes", s.Bytes, "limit", a.memory.Limit(), "connections", s.Accounts,
				"closed", s.Evicted-before.Evicted, "refused", s.Refused-before.Refused)
		}
		before = s
	})
}

// setMemoryGauges updates the gauges of the memory for callers.
func (a *Agent) setMemoryGauges() {
	s := a.memory.Stats()
	a.metrics.SetGauge(metric.CallerBytes, s.Bytes)
	a.metrics.SetGauge(metric.CallerConnections, int64(s.Accounts))
	a.metrics.SetGauge(metric.MemoryEvicted, s.Evicted)
	a.metrics.SetGauge(metric.MemoryRefused, s.Refused)
}

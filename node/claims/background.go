package claims

import (
	"context"
	"errors"
	"time"

	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/super"
)

const (
	appendCheckInterval = claim.MinAppendInterval // time between checks whether a batch is due
	maintenanceInterval = 250 * time.Millisecond
	fleetSizeInterval   = 5 * time.Second
	maxRecordsPerRead   = 200
	readWait            = 2 * time.Second // maximum time that a read waits for new records
	retryDelay          = 500 * time.Millisecond
)

// RunAppender is the background task that appends claims and outcomes to the
// log.
func (c *Coordinator) RunAppender(ctx context.Context) error {
	return super.Every(ctx, appendCheckInterval, func(now time.Time) { c.appendBatch(ctx, now) })
}

func (c *Coordinator) appendBatch(ctx context.Context, now time.Time) {
	batch := c.queue.Take(now)
	if batch == nil {
		return
	}
	if _, err := c.log.Append(ctx, logsvc.StreamClaims, batch); err != nil {
		c.queue.Fail(time.Now())
		if ctx.Err() == nil {
			c.onErr(err)
		}
		return
	}
	c.queue.Ack()
}

// RunIndexer is the background task that reads the claims and outcomes of all
// nodes from the log into the index. If the log has expired the next record, it
// continues with the first one that the log retains.
func (c *Coordinator) RunIndexer(ctx context.Context) error {
	var next uint64
	return super.Repeat(ctx, retryDelay, c.onErr, func(ctx context.Context) error {
		b, err := c.log.Read(ctx, logsvc.StreamClaims, next, maxRecordsPerRead, readWait)
		var expired *logsvc.ExpiredError
		switch {
		case err == nil:
			c.apply(b)
			next = b.Next
		case errors.As(err, &expired):
			next = expired.First
		default:
			return err
		}
		return nil
	})
}

func (c *Coordinator) apply(b logsvc.Batch) {
	now := time.Now()
	for _, rec := range b.Records {
		if _, err := c.index.Apply(now, rec); err != nil {
			c.onErr(err)
		}
	}
}

// RunMaintenance is the background task that records retired epochs, removes
// expired keys and updates the fleet size of the queue.
func (c *Coordinator) RunMaintenance(ctx context.Context) error {
	var sizeUpdated time.Time
	return super.Every(ctx, maintenanceInterval, func(now time.Time) {
		c.RecordRetiredEpochs(now)
		c.table.RemoveExpired(now)
		if now.Sub(sizeUpdated) >= fleetSizeInterval {
			sizeUpdated = now
			c.queue.SetFleetSize(max(1, c.peers.Size()))
		}
	})
}

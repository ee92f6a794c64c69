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
	flushEvery   = claim.MinAppendInterval
	observeEvery = 250 * time.Millisecond
	sizeEvery    = 5 * time.Second
	readBatch    = 200
	readWait     = 2 * time.Second
	retryWait    = 500 * time.Millisecond
)

// RunAppender is the duty that appends claims and outcomes to the log.
func (c *Coordinator) RunAppender(ctx context.Context) error {
	return super.Every(ctx, flushEvery, func(now time.Time) { c.flushOnce(ctx, now) })
}

func (c *Coordinator) flushOnce(ctx context.Context, now time.Time) {
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

// RunIndexer is the duty that reads the outcomes of other nodes.
func (c *Coordinator) RunIndexer(ctx context.Context) error {
	var next uint64
	return super.Repeat(ctx, retryWait, c.onErr, func(ctx context.Context) error {
		b, err := c.log.Read(ctx, logsvc.StreamClaims, next, readBatch, readWait)
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

// RunMaintenance is the duty that notes retired epochs, drops old keys and follows the
// size of the fleet.
func (c *Coordinator) RunMaintenance(ctx context.Context) error {
	var sized time.Time
	return super.Every(ctx, observeEvery, func(now time.Time) {
		c.RecordRetiredEpochs(now)
		c.table.RemoveExpired(now)
		if now.Sub(sized) >= sizeEvery {
			sized = now
			c.queue.SetFleetSize(max(1, c.peers.Size()))
		}
	})
}

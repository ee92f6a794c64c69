package agent

import (
	"context"
	"time"

	"github.com/google/uuid"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
)

const (
	// snapshotCandidates is the number of nodes of a zone that may append a snapshot.
	// With three, two may fail.
	snapshotCandidates = 3
	// defaultStaleAfter is the age of the configuration above which a node reads
	// the log itself, if no limit on the age is configured.
	defaultStaleAfter = 5 * time.Second
	// maxPullsPerTurn is the number of nodes that are asked in a row while each replies with a state
	// that is too old itself, as the readers of a zone do that are cut off together.
	maxPullsPerTurn = 3
	// catchUpDelay is how long a node waits for its own read or its sources
	// after gossip reported a newer configuration, before it asks a peer. It is
	// many times the usual response time of the log.
	catchUpDelay = 300 * time.Millisecond
	// startupPeerWait is how long a node that starts during an outage of the log
	// asks its peers before it puts the newest configuration that they had into
	// effect.
	startupPeerWait = 3 * time.Second

	// snapshotEvery is the time between two checks whether a snapshot is due.
	snapshotEvery = 5 * time.Second
)

// readPlan returns the parameters that determine how often the configuration is read.
func (a *Agent) readPlan() config.ReadPlan {
	p := config.ReadPlan{MaxAge: a.cfg.Bounds.RevokeWithin.D()}
	if cur := a.store.Current(); a.platform == nil && cur != nil {
		p.MaxAge = cur.MaxAge
	}
	// Nodes read often enough, and look for another source early enough, that an evacuation takes
	// effect in time.
	if within := a.cfg.Bounds.EvacuateWithin.D(); a.readsEvacuations && within > 0 && (p.MaxAge == 0 || p.MaxAge > within) {
		p.MaxAge = within
	}
	return p
}

// staleAfter returns the age above which the configuration is stale. The node then
// no longer relies on its sources to confirm it.
func (a *Agent) staleAfter() time.Duration {
	if plan := a.readPlan(); plan.MaxAge > 0 {
		return plan.MaxNonReaderAge()
	}
	return defaultStaleAfter
}

// pullConfig is the background task that requests configuration records from any node of
// any zone while this node's configuration is stale.
func (a *Agent) pullConfig(ctx context.Context) error {
	started, turn := time.Now(), 0
	return super.Every(ctx, config.PullInterval, func(now time.Time) {
		for range maxPullsPerTurn {
			turn++
			if a.store.StateAge(boot.Now()) <= a.staleAfter() {
				return
			}
			addr, ok := a.fleet.peerAddr(turn)
			if !ok || !a.pullFrom(ctx, addr, now.Sub(started) > startupPeerWait) {
				return
			}
		}
	})
}

// catchUp is the background task that requests records from a node with a newer
// configuration as soon as gossip reports one.
func (a *Agent) catchUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.fleet.newerConfig:
		}
		if !super.Pause(ctx, catchUpDelay) {
			return nil
		}
		if addr, ok := a.fleet.newerConfigAddr(); ok {
			a.pullFrom(ctx, addr, false)
		}
	}
}

// pullFrom requests records from a node and applies them. It reports whether the node replied; its
// state may be as old as that of this node.
func (a *Agent) pullFrom(ctx context.Context, addr string, acceptUnconfirmed bool) bool {
	ctx, cancel := context.WithTimeout(ctx, config.PullInterval)
	defer cancel()
	sent := boot.Now()
	reply, err := callPeer[store.RecordsRequest, store.RecordsReply](ctx, a.links, addr, relay.KindRecords, store.RecordsRequest{From: a.store.Offset()})
	if err == nil {
		a.store.ApplyPeerReply(reply, acceptUnconfirmed, sent, boot.Now())
	} else if ctx.Err() == nil {
		a.log.Debug("pulling the configuration failed", "addr", addr, "error", err)
	}
	return err == nil
}

// appendSnapshots is the background task that appends snapshots of the
// configuration to the log before the log drops the records that they cover.
func (a *Agent) appendSnapshots(ctx context.Context) error {
	policy := config.DefaultSnapshotPolicy(a.cfg.Log.Retention.D())
	return super.Every(ctx, snapshotEvery, func(time.Time) {
		order := a.readOrder()
		candidates := order[:min(snapshotCandidates, len(order))]
		records, err := a.store.SnapshotRecords(boot.Now(), policy, a.cfg.Instance.Name, candidates, uuid.NewString())
		if err == nil && len(records) > 0 {
			_, err = a.logService.Append(ctx, logsvc.StreamConfig, records...)
		}
		if err != nil && ctx.Err() == nil {
			a.log.Warn("appending a configuration snapshot failed", "error", err)
		}
	})
}

package agent

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
)

const (
	// logReadersPerZone is the number of nodes of a zone that read the log. With
	// three, two may fail. At 15 zones, 45 readers are a small load on the log.
	logReadersPerZone = 3
	// defaultStaleAfter is the age of the configuration above which a node reads
	// the log itself, if no limit on the age is configured.
	defaultStaleAfter = 5 * time.Second
	// catchUpDelay is how long a node that reads the log waits for its own read
	// after gossip reported a newer configuration, before it asks a peer. It is
	// many times the usual response time of the log.
	catchUpDelay = 300 * time.Millisecond
	// startupPeerWait is how long a node that starts during an outage of the log
	// asks its peers before it puts the newest configuration that they had into
	// effect.
	startupPeerWait = 3 * time.Second

	snapshotEvery = 5 * time.Second
)

// readPlan returns the parameters that determine which nodes read the
// configuration and how often.
func (a *Agent) readPlan() config.ReadPlan {
	p := config.ReadPlan{PerSecond: a.cfg.Log.ReadsPerSecond, Within: a.cfg.Bounds.RevokeWithin.D()}
	if cur := a.store.Current(); a.platform == nil && cur != nil {
		p.Within = cur.MaxAge
	}
	return p
}

// readsLog reports whether this node reads the configuration from the log: because
// it is one of the zone's readers or because its configuration is stale.
func (a *Agent) readsLog() bool {
	return a.isLogReader() || a.store.Age(boot.Now()) > a.staleAfter()
}

// isLogReader reports whether this node is one of the log readers of its zone.
func (a *Agent) isLogReader() bool {
	return slices.Contains(a.logReaders(), a.cfg.Instance.Name)
}

// staleAfter returns the age above which the configuration is stale. The node then
// no longer relies on the log readers to confirm it.
func (a *Agent) staleAfter() time.Duration {
	if plan := a.readPlan(); plan.Within > 0 {
		return plan.OtherAge()
	}
	return defaultStaleAfter
}

// logReaders returns the names of the nodes of this zone that read the log.
func (a *Agent) logReaders() []string {
	alive := a.fleet.alive(a.cfg.Instance.Zone)
	if a.platform != nil && a.readPlan().Everyone(len(alive), a.fleet.Size()) {
		return alive
	}
	members := make([]epoch.Member, 0, len(alive))
	for _, name := range alive {
		members = append(members, epoch.Member{Name: name})
	}
	var names []string
	for _, m := range epoch.TopRanked(members, "log readers", logReadersPerZone) {
		names = append(names, m.Name)
	}
	return names
}

// pullConfig is the background task that requests configuration records from
// peers: from the log readers of this zone regularly, and from any node of any zone
// while the log is unreachable.
func (a *Agent) pullConfig(ctx context.Context) error {
	started, turn := time.Now(), 0
	return super.Every(ctx, config.PullEvery, func(now time.Time) {
		turn++
		if addr, ok := a.recordSource(turn); ok {
			a.pullFrom(ctx, addr, now.Sub(started) > startupPeerWait)
		}
	})
}

// recordSource returns the address of the peer to request records from, or false if
// no request is needed.
func (a *Agent) recordSource(turn int) (string, bool) {
	age, readers := a.store.Age(boot.Now()), a.logReaders()
	if slices.Contains(readers, a.cfg.Instance.Name) {
		if age <= a.readPlan().ReaderAge() {
			return "", false
		}
		return a.fleet.peerAddr(turn, nil)
	}
	if age > a.staleAfter() {
		return a.fleet.peerAddr(turn, nil)
	}
	return a.fleet.peerAddr(turn, readers)
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
		if a.isLogReader() && !super.Pause(ctx, catchUpDelay) {
			return nil
		}
		if addr, ok := a.fleet.newerConfigAddr(); ok {
			a.pullFrom(ctx, addr, false)
		}
	}
}

func (a *Agent) pullFrom(ctx context.Context, addr string, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, config.PullEvery)
	defer cancel()
	sent := boot.Now()
	reply, err := callPeer[store.RecordsRequest, store.RecordsReply](ctx, a.links, addr, relay.KindRecords, store.RecordsRequest{From: a.store.Offset()})
	if err == nil {
		a.store.ApplyPeerReply(reply, complete, sent, boot.Now())
	}
}

// appendSnapshots is the background task that appends snapshots of the
// configuration to the log before the log drops the records that they cover.
func (a *Agent) appendSnapshots(ctx context.Context) error {
	policy := config.DefaultSnapshotPolicy(a.cfg.Log.Retention.D())
	return super.Every(ctx, snapshotEvery, func(time.Time) {
		records, err := a.store.SnapshotRecords(boot.Now(), policy, a.cfg.Instance.Name, a.logReaders(), uuid.NewString())
		if err == nil && len(records) > 0 {
			_, err = a.logService.Append(ctx, logsvc.StreamConfig, records...)
		}
		if err != nil && ctx.Err() == nil {
			a.log.Warn("appending a configuration snapshot failed", "error", err)
		}
	})
}

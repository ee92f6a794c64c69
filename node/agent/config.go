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
	// logReaders is the number of nodes of a zone that read the log. Three
	// survive the loss of two, and 45 readers at 15 zones spare the log.
	logReaders = 3
	// staleAfter is the age of the configuration from which a node reads the log
	// itself where no bound on the age is known.
	staleAfter = 5 * time.Second
	// catchUpDelay is the time for which a node that reads the log waits for its own
	// read after it heard of a change: many times the usual answer of the log.
	catchUpDelay = 300 * time.Millisecond
	// joinTime is how long a node that starts during an outage of the log asks
	// its peers before it serves by the newest configuration that they had.
	joinTime = 3 * time.Second

	snapshotEvery = 5 * time.Second
)

// readPlan returns what decides on reads of the configuration.
func (a *Agent) readPlan() config.ReadPlan {
	p := config.ReadPlan{PerSecond: a.cfg.Log.ReadsPerSecond, Within: a.cfg.Bounds.RevokeWithin.D()}
	if cur := a.store.Current(); a.host == nil && cur != nil {
		p.Within = cur.MaxAge
	}
	return p
}

// readsLog reports whether this node reads the configuration from the log.
func (a *Agent) readsLog() bool {
	return a.isReader() || a.store.Age(boot.Now()) > a.staleAfter()
}

// isReader reports whether it is this node's task to read the log.
func (a *Agent) isReader() bool {
	return slices.Contains(a.logReaders(), a.cfg.Instance.Name)
}

// staleAfter returns the age of the configuration from which the node no longer
// relies on those who should confirm it.
func (a *Agent) staleAfter() time.Duration {
	if plan := a.readPlan(); plan.Within > 0 {
		return plan.OtherAge()
	}
	return staleAfter
}

// logReaders returns the nodes of the own zone that read the log.
func (a *Agent) logReaders() []string {
	alive := a.fleet.alive(a.cfg.Instance.Zone)
	if a.host != nil && a.readPlan().Everyone(len(alive), a.fleet.Size()) {
		return alive
	}
	members := make([]epoch.Member, 0, len(alive))
	for _, name := range alive {
		members = append(members, epoch.Member{Name: name})
	}
	var names []string
	for _, m := range epoch.TopRanked(members, "log readers", logReaders) {
		names = append(names, m.Name)
	}
	return names
}

// pullConfig is the duty that asks peers for configuration records: a reader of
// the own zone regularly, and any node of any zone while the log is
// unreachable.
func (a *Agent) pullConfig(ctx context.Context) error {
	started, turn := time.Now(), 0
	return super.Every(ctx, config.PullEvery, func(now time.Time) {
		turn++
		if addr, ok := a.recordSource(turn); ok {
			a.pullFrom(ctx, addr, now.Sub(started) > joinTime)
		}
	})
}

// recordSource returns the peer to ask, or false if there is nothing to ask
// for.
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

// catchUp is the duty that asks a node which has a newer configuration as soon as
// gossip tells of it.
func (a *Agent) catchUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.fleet.news:
		}
		if a.isReader() && !super.Pause(ctx, catchUpDelay) {
			return nil
		}
		if addr, ok := a.fleet.ahead(); ok {
			a.pullFrom(ctx, addr, false)
		}
	}
}

func (a *Agent) pullFrom(ctx context.Context, addr string, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, config.PullEvery)
	defer cancel()
	sent := boot.Now()
	reply, err := call[store.RecordsRequest, store.RecordsReply](ctx, a.links, addr, relay.KindRecords, store.RecordsRequest{From: a.store.Offset()})
	if err == nil {
		a.store.ApplyPeerReply(reply, complete, sent, boot.Now())
	}
}

// snapshotConfig is the duty that appends snapshots of the configuration
// before the log drops the records that they cover.
func (a *Agent) snapshotConfig(ctx context.Context) error {
	policy := config.DefaultSnapshotPolicy(a.cfg.Log.Retention.D())
	return super.Every(ctx, snapshotEvery, func(time.Time) {
		records, err := a.store.SnapshotRecords(boot.Now(), policy, a.cfg.Instance.Name, a.logReaders(), uuid.NewString())
		if err == nil && len(records) > 0 {
			_, err = a.platform.Append(ctx, logsvc.StreamConfig, records...)
		}
		if err != nil && ctx.Err() == nil {
			a.log.Warn("configuration snapshot not appended", "error", err)
		}
	})
}

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
	// smallZone is the number of nodes of a zone up to which all of them read a
	// hosted configuration themselves: a reader saves one read in 2 s, and a node
	// that reads doesn't depend on one.
	smallZone = 8
	// pullEvery is how often another node asks a reader for records.
	pullEvery = time.Second
	// staleAfter is the age of the configuration from which a node reads the log
	// itself.
	staleAfter = 5 * time.Second
	// joinTime is how long a node that starts during an outage of the log asks
	// its peers before it serves by the newest configuration that they had.
	joinTime = 3 * time.Second

	snapshotEvery = 5 * time.Second

	// readShare is the part, in tenths, of the time within which a revocation must
	// count that one read of the configuration may take. Two reads in a row, and the
	// one that fails between them, then stay within that time.
	readShare = 4
)

// readsLog reports whether this node reads the configuration from the log.
func (a *Agent) readsLog() bool {
	return a.store.Age(boot.Now()) > a.staleAfter() || slices.Contains(a.logReaders(), a.cfg.Instance.Name)
}

// staleAfter returns the age of the configuration from which the node no longer
// relies on those who should confirm it.
func (a *Agent) staleAfter() time.Duration {
	if a.host == nil {
		return staleAfter
	}
	return a.pullAfter()
}

// pullAfter returns the age of the configuration from which the node asks any
// peer: a read that ends in time and a pull keep it younger.
func (a *Agent) pullAfter() time.Duration {
	return a.readWait() + pullEvery
}

// logReaders returns the nodes of the own zone that read the log.
func (a *Agent) logReaders() []string {
	alive := a.fleet.alive(a.cfg.Instance.Zone)
	if a.host != nil && len(alive) <= smallZone {
		return alive
	}
	members := make([]epoch.Member, 0, len(alive))
	for _, name := range alive {
		members = append(members, epoch.Member{Name: name})
	}
	var names []string
	for _, m := range epoch.Top(members, "log readers", logReaders) {
		names = append(names, m.Name)
	}
	return names
}

// pullConfig is the duty that asks peers for configuration records: a reader of
// the own zone regularly, and any node of any zone while the log is
// unreachable.
func (a *Agent) pullConfig(ctx context.Context) error {
	started, turn := time.Now(), 0
	return super.Every(ctx, pullEvery, func(now time.Time) {
		turn++
		if addr, ok := a.recordSource(turn); ok {
			a.pullFrom(ctx, addr, now.Sub(started) > joinTime)
		}
	})
}

// recordSource returns the peer to ask, or false if there is nothing to ask
// for.
func (a *Agent) recordSource(turn int) (string, bool) {
	stale := a.store.Age(boot.Now()) > a.pullAfter()
	readers := a.logReaders()
	if !stale && slices.Contains(readers, a.cfg.Instance.Name) {
		return "", false
	}
	if stale {
		return a.fleet.peerAddr(turn, nil)
	}
	return a.fleet.peerAddr(turn, readers)
}

// readWait returns the long poll time of this node's reads of the configuration.
func (a *Agent) readWait() time.Duration {
	if a.host == nil || a.cfg.Bounds.RevokeWithin == 0 {
		return store.ReadWait
	}
	return a.cfg.Bounds.RevokeWithin.D() * readShare / 10
}

func (a *Agent) pullFrom(ctx context.Context, addr string, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, pullEvery)
	defer cancel()
	sent := boot.Now()
	reply, err := call[store.RecordsRequest, store.RecordsReply](ctx, a.links, addr, relay.KindRecords, store.RecordsRequest{From: a.store.Offset()})
	if err == nil {
		a.store.Merge(reply, complete, sent, boot.Now())
	}
}

// snapshotConfig is the duty that appends snapshots of the configuration
// before the log drops the records that they cover.
func (a *Agent) snapshotConfig(ctx context.Context) error {
	policy := config.DefaultSnapshotPolicy(a.cfg.Log.Retention.D())
	return super.Every(ctx, snapshotEvery, func(time.Time) {
		records, err := a.store.Snapshot(boot.Now(), policy, a.cfg.Instance.Name, a.logReaders(), uuid.NewString())
		if err == nil && len(records) > 0 {
			_, err = a.platform.Append(ctx, logsvc.StreamConfig, records...)
		}
		if err != nil && ctx.Err() == nil {
			a.log.Warn("configuration snapshot not appended", "error", err)
		}
	})
}

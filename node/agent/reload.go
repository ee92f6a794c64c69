package agent

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/setup"
)

// SettingsSource provides the settings of the process and their changes.
type SettingsSource interface {
	// Next waits until the settings change and returns the new ones, or an error if
	// they are invalid.
	Next(ctx context.Context) (setup.Node, error)
}

// WithSettings makes the agent apply changes of its settings while it runs.
func WithSettings(s SettingsSource) Option {
	return func(a *Agent) { a.settingsSource = s }
}

// followSettings is the background task that applies changed settings. If the
// changed settings are invalid, the current ones stay in effect.
func (a *Agent) followSettings(ctx context.Context) error {
	for {
		cfg, err := a.settingsSource.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			a.log.Error("changed settings are invalid; the previous settings stay in effect", "error", err)
			continue
		}
		a.Reload(cfg)
	}
}

// Reload applies the settings that can change while the node runs. The others
// affect listeners, links or state that are created only when the process starts.
// Reload logs which settings were applied and which need a restart.
func (a *Agent) Reload(cfg setup.Node) {
	before := a.effective.Load()
	now := *before
	now.Bounds.RetryRatio, now.Bounds.RetrySlack = cfg.Bounds.RetryRatio, cfg.Bounds.RetrySlack
	now.Limits.LearnCapacity = cfg.Limits.LearnCapacity
	now.Logging.Level, now.Shutdown = cfg.Logging.Level, cfg.Shutdown
	a.effective.Store(&now)
	a.log.SetLevel(hclog.LevelFromString(cfg.Logging.Level))
	a.log.Info("settings reloaded", "applied", before.ChangedKeys(now), "needRestart", now.ChangedKeys(cfg))
}

// ShutdownTimes returns the time limits of a graceful shutdown that are in effect.
func (a *Agent) ShutdownTimes() setup.Shutdown {
	return a.effective.Load().Shutdown
}

package agent

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/setup"
)

// SettingsSource is where the settings of the process come from.
type SettingsSource interface {
	// Next waits until the settings were changed and returns them, or an error if
	// they can't be used.
	Next(ctx context.Context) (setup.Node, error)
}

// WithSettings makes the agent follow its settings while it runs.
func WithSettings(s SettingsSource) Option {
	return func(a *Agent) { a.settings = s }
}

// followSettings is the duty that takes over changed settings. The settings in
// force hold if the changed ones can't be used.
func (a *Agent) followSettings(ctx context.Context) error {
	for {
		cfg, err := a.settings.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			a.log.Error("changed settings can't be used; the earlier ones hold", "error", err)
			continue
		}
		a.Reload(cfg)
	}
}

// Reload takes over the settings that can change while the node runs. The others
// are tied to listeners, links or state that only a new process builds. It logs
// which changed and which need a restart.
func (a *Agent) Reload(cfg setup.Node) {
	before := a.live.Load()
	now := *before
	now.Bounds.RetryRatio, now.Bounds.RetrySlack = cfg.Bounds.RetryRatio, cfg.Bounds.RetrySlack
	now.Logging.Level, now.Shutdown = cfg.Logging.Level, cfg.Shutdown
	a.live.Store(&now)
	a.log.SetLevel(hclog.LevelFromString(cfg.Logging.Level))
	a.log.Info("settings reloaded", "applied", before.Changed(now), "needRestart", now.Changed(cfg))
}

// ShutdownTimes returns the times of a graceful shutdown in force.
func (a *Agent) ShutdownTimes() setup.ShutdownAt {
	return a.live.Load().Shutdown
}

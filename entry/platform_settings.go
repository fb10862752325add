package main

import (
	"context"
	"os"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// closeStaleConns closes idle connections that have expired or whose server is no
// longer registered, every staleConnInterval until ctx is done.
func (n *platformNode) closeStaleConns(ctx context.Context) {
	ticker := time.NewTicker(staleConnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.pool.CloseStale(n.fleet.Registered)
		}
	}
}

// watchSettings reloads the settings on a signal from reloadSignals and when the
// modification time of the settings file changes, until ctx is done.
func (n *platformNode) watchSettings(ctx context.Context, reloadSignals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var modified time.Time
	if info, err := os.Stat(platform.SettingsPath()); err == nil {
		modified = info.ModTime()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			n.reloadSettings("signal")
		case <-ticker.C:
			info, err := os.Stat(platform.SettingsPath())
			if err != nil || info.ModTime().Equal(modified) {
				continue
			}
			modified = info.ModTime()
			n.reloadSettings("file-changed")
		}
	}
}

// reloadSettings replaces the settings with those in the settings file. It keeps the
// old ones if the file can't be read or parsed. The cause is logged.
func (n *platformNode) reloadSettings(cause string) {
	settings, err := platform.ReadSettings(platform.SettingsPath())
	if err != nil {
		n.logger.Error().Str("event", "reload-failed").Str("cause", cause).Err(err).Msg("")
		return
	}
	n.settings.Store(&settings)
	n.connections.limitHeap()
	n.logger.Info().Str("event", "reloaded").Str("cause", cause).Strs("defaulted", settings.DefaultedKeys).Msg("")
}

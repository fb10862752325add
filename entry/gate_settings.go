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

// watchSettings reloads the settings on a signal from hangups and when the
// modification time of the file changes, until ctx is done.
func (n *platformNode) watchSettings(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var modified time.Time
	if info, err := os.Stat(platform.SettingsFile()); err == nil {
		modified = info.ModTime()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			n.reload("signal")
		case <-ticker.C:
			info, err := os.Stat(platform.SettingsFile())
			if err != nil || info.ModTime().Equal(modified) {
				continue
			}
			modified = info.ModTime()
			n.reload("file-changed")
		}
	}
}

// reload replaces the settings by those in the file, and keeps the old ones if the
// file can't be read.
func (n *platformNode) reload(cause string) {
	settings, err := platform.ReadSettings(platform.SettingsFile())
	if err != nil {
		n.logger.Error().Str("event", "reload-failed").Str("cause", cause).Err(err).Msg("")
		return
	}
	n.settings.Store(&settings)
	n.logger.Info().Str("event", "reloaded").Str("cause", cause).Strs("defaulted", settings.DefaultedKeys).Msg("")
}

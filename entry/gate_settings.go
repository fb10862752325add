package main

import (
	"context"
	"os"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// sweep closes connections that are of no more use.
func (g *gate) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.CloseStale(g.fleet.Registered)
		}
	}
}

// watchSettings reads the settings again on SIGHUP or when the file changed.
func (g *gate) watchSettings(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var read time.Time
	if info, err := os.Stat(platform.SettingsFile()); err == nil {
		read = info.ModTime()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			g.reload("signal")
		case <-ticker.C:
			info, err := os.Stat(platform.SettingsFile())
			if err != nil || info.ModTime().Equal(read) {
				continue
			}
			read = info.ModTime()
			g.reload("file-changed")
		}
	}
}

// reload takes the settings file over; one that can't be read changes nothing.
func (g *gate) reload(cause string) {
	settings, err := platform.ReadSettings(platform.SettingsFile())
	if err != nil {
		g.logger.Error().Str("event", "reload-failed").Str("cause", cause).Err(err).Msg("")
		return
	}
	g.settings.Store(&settings)
	g.logger.Info().Str("event", "reloaded").Str("cause", cause).Strs("defaulted", settings.DefaultedKeys).Msg("")
}

package mangogateway

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"mangolane/mangolaned/mangolog"
	"mangolane/mangolaned/mangosettings"
)

// reloadInterval is the interval at which the settings file is read without a
// signal.
const reloadInterval = 2 * time.Second

// WatchSettings reloads the settings at each signal and every reloadInterval until
// ctx ends. Invalid settings are logged and the current ones stay active.
func (g *Gateway) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			g.logger.Info("reload asked for")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g.reload(path)
	}
}

func (g *Gateway) reload(path string) {
	next, err := mangosettings.ReadGateway(path)
	if err != nil {
		g.logger.Error("settings not reloaded", mangolog.FaultFields(err)...)
		return
	}
	if reflect.DeepEqual(next, *g.current.Load()) {
		return
	}
	if err := g.level.UnmarshalText([]byte(next.LogLevel)); err != nil {
		g.logger.Error("settings not reloaded", mangolog.FaultFields(err)...)
		return
	}
	g.current.Store(&next)
	g.logger.Info("settings reloaded", zap.Bool("NeedsRestart", !sameStartupSettings(next, g.settings)))
}

// sameStartupSettings reports whether the settings that are read only at startup are
// unchanged: all but those that a reload applies, and FirstStart, which concerns the start
// alone.
func sameStartupSettings(a, b mangosettings.Gateway) bool {
	a.LogLevel, a.RetryRatio, a.RetryFixed, a.RetryWindow = b.LogLevel, b.RetryRatio, b.RetryFixed, b.RetryWindow
	a.FirstStart = b.FirstStart
	a.GracePeriod, a.QuotaTolerance, a.QuotaSlack = b.GracePeriod, b.QuotaTolerance, b.QuotaSlack
	return reflect.DeepEqual(a, b)
}

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

// sameStartupSettings reports whether the identity, the addresses, Seeds, Regions,
// MemoryLimit and LogRate are unchanged. They are read only at startup. So are
// GracePeriod, OrderLease, TraceSpans, Cores, CoreShare and LinkRate, which are not
// compared.
func sameStartupSettings(a, b mangosettings.Gateway) bool {
	return a.Front == b.Front && a.Readiness == b.Readiness && a.Peer == b.Peer && a.Metrics == b.Metrics &&
		a.Platform == b.Platform && a.DataCentre == b.DataCentre && a.Daemon == b.Daemon &&
		reflect.DeepEqual(a.Seeds, b.Seeds) && reflect.DeepEqual(a.Regions, b.Regions) &&
		a.MemoryLimit == b.MemoryLimit && a.LogRate == b.LogRate
}

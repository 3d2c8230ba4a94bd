package mangorest

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/proc"
)

// StopContext returns a context that ends at the first SIGTERM or SIGINT, also at one that
// came before the call: go-zero handles these signals from its initialization on, and does
// no more than close a channel for the time that [Server] sets. Later signals are ignored.
func StopContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-proc.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel()
		release()
	}
}

package mangostage

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangopanic"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

const (
	// reportTimeout bounds one report.
	reportTimeout = 300 * time.Millisecond
	// maxReports is how many engines are queried in one interval. Each report
	// takes a connection, so the engines of larger fleets take turns.
	maxReports = 64
)

// collectReports requests load reports until ctx ends.
func (c *Controller) collectReports(ctx context.Context) {
	ticker := time.NewTicker(mangopool.LoadReportInterval)
	defer ticker.Stop()
	for first := 0; ; first += maxReports {
		var running sync.WaitGroup
		for _, server := range rotate(c.scheduled(), first, maxReports) {
			running.Go(func() {
				defer mangopanic.Catch(c.log, "load report")
				c.collectReport(ctx, server)
			})
		}
		running.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// rotate returns at most n servers of a list, from position first with
// wrap-around. It sorts longer lists by ID.
func rotate(list []mangotraffic.Server, first, n int) []mangotraffic.Server {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b mangotraffic.Server) int { return cmp.Compare(a.ID, b.ID) })
	first %= len(list)
	return append(list[first:], list[:first]...)[:n]
}

// scheduled returns the decode servers of the services that this daemon
// schedules, except those that have asked it for time.
func (c *Controller) scheduled() []mangotraffic.Server {
	var list []mangotraffic.Server
	view, now := c.fleet.View(), time.Now()
	for _, server := range view.Listed {
		if server.Stage == mangotraffic.StageDecode && c.schedules(server.Service) && view.Backoff(server.ID, now) == 0 {
			list = append(list, server)
		}
	}
	return list
}

// collectReport requests the load report of one server. If the server does not
// respond, its recorded state from earlier calls stays.
func (c *Controller) collectReport(ctx context.Context, server mangotraffic.Server) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := c.reporter.Report(ctx, server)
	if err != nil {
		c.log.ReportFailed(server, err)
		return
	}
	c.apply(mangofleet.RecordLoad{Server: server.ID, Report: report})
}

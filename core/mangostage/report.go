package mangostage

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

const (
	// inspectTimeout bounds one report.
	inspectTimeout = 300 * time.Millisecond
	// inspectMost is how many engines are asked in one interval: each report
	// takes a connection, and in larger fleets they take turns.
	inspectMost = 64
)

// inspect asks until ctx ends.
func (c *Controller) inspect(ctx context.Context) {
	ticker := time.NewTicker(mangopool.LoadReportInterval)
	defer ticker.Stop()
	for first := 0; ; first += inspectMost {
		var running sync.WaitGroup
		for _, server := range turn(c.scheduled(), first, inspectMost) {
			running.Go(func() { c.inspectOne(ctx, server) })
		}
		running.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// turn returns at most n servers of a list, from a position that goes round.
func turn(list []mangotraffic.Server, first, n int) []mangotraffic.Server {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b mangotraffic.Server) int { return cmp.Compare(a.ID, b.ID) })
	first %= len(list)
	return append(list[first:], list[:first]...)[:n]
}

// scheduled returns the decode servers of the services that this daemon
// schedules.
func (c *Controller) scheduled() []mangotraffic.Server {
	var list []mangotraffic.Server
	for _, server := range c.fleet.View().Listed {
		if server.Stage == mangotraffic.StageDecode && c.schedules(server.Service) {
			list = append(list, server)
		}
	}
	return list
}

// inspectOne asks one server. A server that does not answer keeps the belief
// that the calls to it have made.
func (c *Controller) inspectOne(ctx context.Context, server mangotraffic.Server) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	report, err := c.reporter.Report(ctx, server)
	if err != nil {
		c.log.ReportFailed(server, err)
		return
	}
	c.tell(mangofleet.RecordLoad{Server: server.ID, Report: report})
}

package mangoagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangosched"
)

const (
	// DefaultLoadInterval is the pause between two reports of a server.
	DefaultLoadInterval = 500 * time.Millisecond
	// loadTimeout bounds the reading of a report.
	loadTimeout = time.Second
	// cancelTimeout bounds the sending of a cancellation.
	cancelTimeout = 2 * time.Second
	// DefaultHostListInterval is the pause between two reads of the list of
	// hosts.
	DefaultHostListInterval = time.Second
	// staleReadings is the number of intervals after which any daemon reads
	// the list, in case the one that does so for the data centre cannot.
	staleReadings = 5
)

// Poller reads the reports of the servers that the daemon schedules.
type Poller struct {
	control  Control
	servers  Servers
	interval time.Duration
}

// NewPoller returns a Poller.
func NewPoller(control Control, servers Servers, interval time.Duration) *Poller {
	return &Poller{control: control, servers: servers, interval: interval}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) { every(ctx, p.interval, p.pollAll) }

func (p *Poller) pollAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, shard := range p.control.Snapshot().OwnShards() {
		for _, server := range shard.Servers {
			wait.Go(func() { p.poll(ctx, server) })
		}
	}
	wait.Wait()
}

func (p *Poller) poll(ctx context.Context, server mangoconfig.Host) {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, refused, err := p.servers.Load(loadCtx, server)
	if ctx.Err() != nil {
		return
	}
	// Only the control goroutine's end makes the commands fail.
	if err != nil {
		_ = p.control.Do(ctx, mangocommand.MarkServerUnreachable{Server: mangomodel.ServerID(server.ID), Refused: refused})
		return
	}
	_ = p.control.Do(ctx, mangocommand.RecordLoad{Load: load})
}

// Canceller sends the cancellations that the scheduler asks for.
type Canceller struct {
	control Control
	servers Servers
	cancels <-chan mangosched.Cancel
}

// NewCanceller returns a Canceller.
func NewCanceller(control Control, servers Servers, cancels <-chan mangosched.Cancel) *Canceller {
	return &Canceller{control: control, servers: servers, cancels: cancels}
}

// Run sends cancellations until ctx ends.
func (c *Canceller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-c.cancels:
			go c.send(ctx, order)
		}
	}
}

func (c *Canceller) send(ctx context.Context, order mangosched.Cancel) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if server, ok := c.control.Snapshot().Server(order.Server); ok {
		// A lost cancellation is repeated by the sweep of orphans.
		_ = c.servers.Cancel(ctx, server, order.Sequence)
	}
}

// HostWatcher reads the platform's list of hosts.
type HostWatcher struct {
	control  Control
	list     HostList
	reporter Reporter
	interval time.Duration
}

// NewHostWatcher returns a HostWatcher.
func NewHostWatcher(control Control, list HostList, reporter Reporter, interval time.Duration) *HostWatcher {
	return &HostWatcher{control: control, list: list, reporter: reporter, interval: interval}
}

// Run reads the list until ctx ends.
func (h *HostWatcher) Run(ctx context.Context) { every(ctx, h.interval, h.poll) }

// poll reads the list if this daemon does so for its data centre, or if no
// news of it has come for a while.
func (h *HostWatcher) poll(ctx context.Context) {
	snap := h.control.Snapshot()
	if snap.RunsTask(mangoquery.TaskHostList) || time.Since(snap.HostList.At) > staleReadings*h.interval {
		h.read(ctx)
	}
}

func (h *HostWatcher) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	leaving, err := h.list.Leaving(readCtx)
	if err != nil {
		h.reporter.Failed(mangomodel.StepProbe, err)
		return
	}
	// Only the control goroutine's end makes this fail.
	slices.Sort(leaving)
	_ = h.control.Do(ctx, mangocommand.SetLeaving{Reading: mangoquery.HostReading{At: time.Now(), Leaving: leaving}})
}

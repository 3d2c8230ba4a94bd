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
	// DefaultLoadInterval is the pause between two load reports of a server.
	DefaultLoadInterval = 500 * time.Millisecond
	// loadTimeout bounds the request for a load report.
	loadTimeout = time.Second
	// cancelTimeout bounds the request that cancels a sequence.
	cancelTimeout = 2 * time.Second
	// DefaultHostListInterval is the pause between two reads of the list of
	// hosts.
	DefaultHostListInterval = time.Second
	// staleIntervals is the number of intervals after which any daemon reads
	// the list, in case the one that reads it for the data centre cannot.
	staleIntervals = 5
)

// Poller reads the load reports of the servers that the daemon schedules.
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
	var wg sync.WaitGroup
	for _, shard := range p.control.Snapshot().OwnShards() {
		for _, server := range shard.Servers {
			wg.Go(func() { p.poll(ctx, server) })
		}
	}
	wg.Wait()
}

func (p *Poller) poll(ctx context.Context, server mangoconfig.Host) {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, refused, err := p.servers.Load(loadCtx, server)
	if ctx.Err() != nil {
		return
	}
	// The commands fail only if ctx or the control goroutine has ended.
	if err != nil {
		_ = p.control.Do(ctx, mangocommand.MarkServerUnreachable{Server: mangomodel.ServerID(server.ID), Refused: refused})
		return
	}
	_ = p.control.Do(ctx, mangocommand.RecordLoad{Load: load})
}

// Canceller sends the cancellations that the scheduler requests.
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
		case cancellation := <-c.cancels:
			go c.send(ctx, cancellation)
		}
	}
}

func (c *Canceller) send(ctx context.Context, cancellation mangosched.Cancel) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if server, ok := c.control.Snapshot().Server(cancellation.Server); ok {
		// The sweep of orphaned requests repeats a lost cancellation.
		_ = c.servers.Cancel(ctx, server, cancellation.Sequence)
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

// poll reads the list if this daemon reads it for its data centre, or if the
// newest reading is older than staleIntervals.
func (h *HostWatcher) poll(ctx context.Context) {
	snap := h.control.Snapshot()
	if snap.RunsTask(mangoquery.TaskHostList) || time.Since(snap.HostList.At) > staleIntervals*h.interval {
		h.readList(ctx)
	}
}

func (h *HostWatcher) readList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	leaving, err := h.list.Leaving(readCtx)
	if err != nil {
		h.reporter.ExchangeFailed(mangomodel.StepProbe, err)
		return
	}
	slices.Sort(leaving)
	// Fails only if ctx or the control goroutine has ended.
	_ = h.control.Do(ctx, mangocommand.SetHostList{Reading: mangoquery.HostListReading{At: time.Now(), Leaving: leaving}})
}

// Package mangodaemon assembles a daemon from its settings and runs it until its
// graceful shutdown has finished.
//
// # Usage
//
//	d, err := mangodaemon.New(settings, logger)
//	err = d.Run(ctx) // serves until ctx is done, then drains
package mangodaemon

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangolane/core/mangoagent"
	"mangolane/core/mangocommand"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomember"
	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangorevision"
	"mangolane/core/mangoroute"
	"mangolane/mangolaned/mangoadmin"
	"mangolane/mangolaned/mangobackend"
	"mangolane/mangolaned/mangoconn"
	"mangolane/mangolaned/mangofront"
	"mangolane/mangolaned/mangolog"
	"mangolane/mangolaned/mangometrics"
	"mangolane/mangolaned/mangopeer"
	"mangolane/mangolaned/mangoplatform"
	"mangolane/mangolaned/mangosettings"
	"mangolane/mangolaned/mangotrace"
)

// runner is a background worker that Daemon.Run starts on its own goroutine.
type runner interface{ Run(ctx context.Context) }

// Daemon is one daemon process: its control state, background workers and
// servers.
type Daemon struct {
	settings mangosettings.Settings
	logger   *zap.Logger
	control  *mangocommand.Control
	workers  []runner
	front    *mangorest.Server
	admin    *mangorest.Server
	peers    *mangopeer.Server
	// background runs the work that outlives its request.
	background group
	// answer ends the requests in progress with a fault.
	answer context.CancelCauseFunc
	// stop is closed when an operator requests a graceful shutdown.
	stop     chan struct{}
	stopOnce sync.Once
}

// New assembles a daemon. [Daemon.Run] starts it.
func New(s mangosettings.Settings, logger *zap.Logger) (*Daemon, error) {
	self := mangomember.Member{
		Daemon: s.Daemon, Incarnation: mangomodel.Incarnation(time.Now().UnixNano()),
		Region: s.Region, DataCentre: s.DataCentre, Address: s.Peer,
	}
	d := &Daemon{settings: s, logger: logger, control: mangocommand.New(self), stop: make(chan struct{})}
	recorder := mangotrace.NewRecorder(s.TraceSpans)
	tracer := mangotrace.Install(recorder, s.Daemon)
	metrics := mangometrics.New()
	backend := mangobackend.New()
	platform := mangoplatform.New(s.Platform)
	peers := mangopeer.NewPeers()

	follower := mangoagent.NewFollower(d.control, mangorevision.NewReader(platform, platform), peers, peers, failureLog{logger}, s.FollowInterval.Std())
	d.workers = []runner{
		recorder, follower,
		mangoagent.NewProber(d.control, peers, follower,
			mangoagent.WithProbeInterval(s.ProbeInterval.Std()),
			mangoagent.WithSeeds(s.Seeds), mangoagent.WithRandomSeed(s.RandomSeed)),
		mangoagent.NewRenewer(d.control, peers, s.RenewInterval.Std()),
		mangoagent.NewPoller(d.control, backend, s.LoadInterval.Std()),
		mangoagent.NewCanceller(d.control, backend, d.control.Cancels()),
		mangoagent.NewHostWatcher(d.control, platform, failureLog{logger}, s.HostListInterval.Std()),
	}
	d.control.ObservePanics(panicLog{logger})
	d.peers = mangopeer.NewServer(d.control, peers, follower, tracer, mangopeer.WithPanicObserver(panicLog{logger}))

	generator := mangoroute.New(d.control, peers, backend,
		mangoroute.WithTracer(tracer), mangoroute.WithObserver(observers{metrics, faultLog{logger}}))
	ledger := mangoentry.NewLedger(platform, self.Holder())
	caller := mangoentry.NewCaller(d.control, ledger, backend, tracer, &d.background)
	var stopping context.Context
	stopping, d.answer = context.WithCancelCause(context.Background())
	handler := mangofront.New(d.control, generator, caller, mangofront.WithMaxTokens(s.MaxTokens), mangofront.WithStopping(stopping))
	publisher := mangorevision.NewPublisher(platform, platform)
	admin := mangoadmin.New(d.control, publisher, follower, recorder, metrics, s.OperatorKeyHash, d.Stop)
	return d, d.newServers(handler, admin)
}

// newServers creates the HTTP servers of callers and operators.
func (d *Daemon) newServers(handler *mangofront.Handler, admin *mangoadmin.Admin) error {
	var err error
	if d.front, err = mangorest.NewServer("front", d.settings.Front, handler.Routes(), mangorest.WithMaxBody(d.settings.MaxBody),
		mangorest.WithBodyMemory(mangomemory.New(d.settings.BodyMemory))); err != nil {
		return err
	}
	d.admin, err = mangorest.NewServer("admin", d.settings.Admin, admin.Routes())
	return err
}

// Stop begins a graceful shutdown. It may be called more than once.
func (d *Daemon) Stop() { d.stopOnce.Do(func() { close(d.stop) }) }

// Run serves until ctx is done or Stop is called, then drains and returns.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(d.settings.Peer))
	if err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	defer listener.Close()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { d.control.Run(workCtx) })
	for _, w := range d.workers {
		running.Go(func() { w.Run(workCtx) })
	}
	if err := d.control.Do(workCtx, mangocommand.SetTableWrites{PerSecond: d.settings.TableWrites}); err != nil {
		return err
	}
	go d.servePeers(listener)
	go d.front.Serve()
	go d.admin.Serve()
	d.logger.Info("started", zap.String("Daemon", string(d.settings.Daemon)), zap.String("Front", string(d.settings.Front)))

	select {
	case <-ctx.Done():
	case <-d.stop:
	}
	err = d.drain(workCtx)
	cancel()
	running.Wait()
	return err
}

// peerLimits bounds the connections of other daemons: a quarter of the descriptors, and
// 8 MiB for large messages that are read.
func peerLimits() mangoconn.ServeOption {
	const share, least, messages = 0.25, 32, 8 << 20
	return mangoconn.WithLimits(mangoconn.Limits{Connections: mangorest.DescriptorShare(share, least), Messages: messages})
}

func (d *Daemon) servePeers(l net.Listener) {
	if err := d.peers.Serve(l, peerLimits()); err != nil {
		d.logger.Error("peers", mangolog.FaultFields(err)...)
	}
}

const (
	// maxAnswerTime bounds the time at the end of DrainTimeout in which the requests that
	// are still in progress are answered, and answerShare is its share.
	maxAnswerTime = 5 * time.Second
	answerShare   = 0.25
)

// answerAll ends the requests that DrainTimeout does not cover.
func (d *Daemon) answerAll() {
	d.logger.Info("answering what is left")
	d.answer(mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeUnavailable, mangomodel.RunNot, "the daemon is stopping"))
}

// drain refuses new requests, gives the other daemons time to take over the
// shards, and waits for running requests and background writes to finish. It
// fails if DrainTimeout expires first.
func (d *Daemon) drain(ctx context.Context) error {
	timeout := d.settings.DrainTimeout.Std()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	answerTime := min(maxAnswerTime, time.Duration(answerShare*float64(timeout)))
	defer time.AfterFunc(timeout-answerTime, d.answerAll).Stop()
	if err := d.control.Do(ctx, mangocommand.Stop{}); err != nil {
		return err
	}
	d.logger.Info("draining")
	d.waitForHandover(ctx)
	if err := d.front.Shutdown(ctx); err != nil {
		return err
	}
	if err := d.background.wait(ctx); err != nil {
		return err
	}
	if err := d.admin.Shutdown(ctx); err != nil {
		return err
	}
	d.logger.Info("drained", zap.Duration("Duration", time.Since(started)))
	return nil
}

// waitForHandover keeps the servers listening for a few probe intervals, in which
// the other daemons receive the shutdown state by probes and the platform's load
// balancer finds this daemon not ready.
func (d *Daemon) waitForHandover(ctx context.Context) {
	const probes = 4
	timer := time.NewTimer(probes * d.settings.ProbeInterval.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

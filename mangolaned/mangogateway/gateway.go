// Package mangogateway runs a daemon that routes calls for a platform, from
// its start to its graceful shutdown. Platform-specific parts are passed in as
// interfaces and handlers.
//
// # Usage
//
//	g := mangogateway.New(settings, logger, level, source, newServers)
//	err := g.Run(ctx, handler, readyRoute) // serves until ctx ends, then drains
package mangogateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"mangolane/core/mangoarchive"
	"mangolane/core/mangobound"
	"mangolane/core/mangobroker"
	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangofollow"
	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoorigin"
	"mangolane/core/mangopanic"
	"mangolane/core/mangorelay"
	"mangolane/core/mangorest"
	"mangolane/core/mangoroster"
	"mangolane/core/mangoshutdown"
	"mangolane/core/mangostage"
	"mangolane/core/mangoworkspace"
	"mangolane/mangolaned/mangolog"
	"mangolane/mangolaned/mangomesh"
	"mangolane/mangolaned/mangosettings"
	"mangolane/mangolaned/mangotrace"
)

// Servers is a client of the backend servers.
type Servers interface {
	mangorelay.Servers
	mangostage.LoadReporter
	mangostage.Orders
}

// NewServers returns a client of the backend servers that passes what they announce in
// their responses to the control state, and that keeps responses in a memory.
type NewServers func(state *mangofleet.Fleet, memory *mangomemory.Budget) Servers

// Store holds the records of the platform.
type Store interface {
	mangofollow.Source
	mangostage.ClaimStore
}

// Gateway is a daemon that routes calls for a platform.
type Gateway struct {
	settings mangosettings.Gateway
	// current holds the settings after the last reload.
	current         *atomic.Pointer[mangosettings.Gateway]
	level           zap.AtomicLevel
	logger          *zap.Logger
	fleet           *mangofleet.Fleet
	broker          *mangobroker.Broker
	relay           *mangorelay.Relay
	follower        *mangofollow.Follower
	stageController *mangostage.Controller
	metrics         *metrics
	observer        observer
	recorder        *mangotrace.Recorder
	memory          *mangomemory.Budget
	// archive is nil if the records of calls that crash servers are not saved.
	archive *mangoarchive.Archive
	// origins is nil if streams that clients resume may continue at any build.
	origins *mangoorigin.Origins
}

// Option configures a Gateway.
type Option func(*options)

type options struct {
	archive mangoarchive.Store
	origins mangoorigin.Store
}

// WithArchive sets the store in which the records of calls that crash servers are saved.
// Without one a kill of all daemons forgets them.
func WithArchive(store mangoarchive.Store) Option {
	return func(o *options) { o.archive = store }
}

// WithOrigins sets the store in which it is saved at which builds of servers streams began.
// Without one a stream that a client resumes may continue at another build.
func WithOrigins(store mangoorigin.Store) Option {
	return func(o *options) { o.origins = store }
}

// New returns a Gateway that does not run yet.
func New(s mangosettings.Gateway, logger *zap.Logger, level zap.AtomicLevel, source Store, newServers NewServers, opts ...Option) *Gateway {
	var chosen options
	for _, opt := range opts {
		opt(&chosen)
	}
	self := mangoroster.Member{
		Holder:     mangomodel.Holder{Daemon: s.Daemon, Incarnation: mangomodel.Incarnation(time.Now().UnixNano())},
		DataCentre: s.DataCentre, Address: s.Peer, Strong: s.CanSchedule(),
	}
	started := time.Now()
	current := &atomic.Pointer[mangosettings.Gateway]{}
	current.Store(&s)
	m := newMetrics()
	o := observer{logger: logger, metrics: m}
	times := mangobound.Within(s.ChangeTime())
	fleetOptions := append(loadOptions(&s, o), mangofleet.WithObserver(o), mangofleet.WithTimes(times), mangofleet.WithBasicShare(s.BasicShare),
		mangofleet.WithQuotaTolerance(func() mangomodel.Share { return current.Load().LentTolerance() }),
		mangofleet.WithBurstExtension(func() mangoworkspace.Amount { return current.Load().BurstExtension() }))
	followOptions := []mangofollow.Option{mangofollow.WithTimes(times)}
	if chosen.archive != nil {
		fleetOptions = append(fleetOptions, mangofleet.WithSavedCrashes())
	}
	fleet := mangofleet.New(mangofleet.Self{Member: self, Regions: s.Regions, MinDaemons: len(s.Seeds), Seeds: s.Seeds}, func() mangobudget.Limits {
		return current.Load().RetryLimits(time.Since(started))
	}, fleetOptions...)
	var archive *mangoarchive.Archive
	if chosen.archive != nil {
		archive = mangoarchive.New(fleet, chosen.archive, o)
		followOptions = append(followOptions, mangofollow.WithPrerequisite(archive))
	}
	relayOptions := []mangorelay.Option{mangorelay.WithObserver(o)}
	var origins *mangoorigin.Origins
	if chosen.origins != nil {
		origins = mangoorigin.New(fleet, chosen.origins, o, mangoorigin.WithFirstStart(s.FirstStart))
		relayOptions = append(relayOptions, mangorelay.WithOrigins(origins))
	}
	memory := mangomemory.New(s.BodyMemory, mangomemory.WithObserver(o))
	m.watch(memory)
	servers := newServers(fleet, memory)
	recorder := mangotrace.NewRecorder(s.TraceSpans)
	broker := mangobroker.New(self, fleet, mangomesh.NewPeers(), mangobroker.WithSeeds(s.Seeds), mangobroker.WithObserver(o),
		mangobroker.WithRegions(s.Regions))
	return &Gateway{
		settings: s, current: current, level: level, logger: logger, fleet: fleet, broker: broker, metrics: m, observer: o, recorder: recorder, memory: memory,
		relay: mangorelay.New(fleet, broker, servers, append(relayOptions, mangorelay.WithMemory(memory),
			mangorelay.WithTracer(mangotrace.Install(recorder, s.Daemon)))...),
		follower: mangofollow.New(fleet, source, o, followOptions...),
		archive:  archive,
		origins:  origins,
		stageController: mangostage.New(self.Holder, fleet, servers, source, servers,
			mangostage.WithOrderLease(s.OrderLease.Std()), mangostage.WithObserver(o)),
	}
}

// Fleet returns the control state.
func (g *Gateway) Fleet() *mangofleet.Fleet { return g.fleet }

// Memory returns the memory for the bodies of calls and responses.
func (g *Gateway) Memory() *mangomemory.Budget { return g.memory }

// PanicObserver returns the observer that logs and counts panics.
func (g *Gateway) PanicObserver() mangopanic.Observer { return g.observer }

// Relay returns the relay that serves calls.
func (g *Gateway) Relay() *mangorelay.Relay { return g.relay }

// Run serves until ctx ends, then drains and returns.
func (g *Gateway) Run(ctx context.Context, handler http.Handler, ready rest.Route) error {
	proxyServer, err := mangorest.NewProxyServer("front", g.settings.Front, handler, g.idleTimeout, g.frontClients())
	if err != nil {
		return err
	}
	readyServer, err := mangorest.NewServer("readiness", g.settings.Readiness, []rest.Route{ready}, g.checkClients())
	if err != nil {
		return err
	}
	metricsServer, err := mangorest.NewServer("metrics", g.settings.Metrics, []rest.Route{g.metrics.route(), g.spansRoute()}, g.checkClients())
	if err != nil {
		return err
	}
	peerServer, err := mangomesh.NewServer(g.fleet, g.broker, g.observer)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", string(g.settings.Peer))
	if err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	defer listener.Close()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { g.fleet.Run(workCtx) })
	if g.archive != nil {
		running.Go(func() { g.archive.Run(workCtx) })
	}
	if g.origins != nil {
		running.Go(func() { g.origins.Run(workCtx) })
	}
	running.Go(func() { g.follower.Run(workCtx) })
	running.Go(func() { g.broker.Run(workCtx) })
	running.Go(func() { g.stageController.Run(workCtx) })
	running.Go(func() { g.recorder.Run(workCtx) })
	go g.servePeers(peerServer, listener)
	g.metrics.watchConnections("front", proxyServer)
	for _, s := range []*mangorest.Server{proxyServer, readyServer, metricsServer} {
		go s.Serve()
	}
	g.logger.Info("started", zap.Any("Seeds", g.settings.Seeds), zap.String("Front", string(g.settings.Front)))
	<-ctx.Done()
	err = g.drain(workCtx, proxyServer)
	cancel()
	running.Wait()
	return err
}

// idleTimeout returns the idle timeout of client connections in the active
// configuration, or zero.
func (g *Gateway) idleTimeout() time.Duration {
	if routing := g.fleet.View().Routing; routing != nil {
		return routing.Limits.IdleTimeout
	}
	return 0
}

func (g *Gateway) servePeers(s *mangomesh.Server, l net.Listener) {
	if err := s.Serve(l, g.peerLimits()); err != nil {
		g.logger.Error("peers", mangolog.FaultFields(err)...)
	}
}

// drain removes the daemon from the load balancer's rotation and waits for the
// calls in progress.
func (g *Gateway) drain(ctx context.Context, server *mangorest.Server) error {
	plan := g.shutdownPlan(time.Now())
	g.observer.DrainBegun(plan, g.relay.Active(), g.fleet.View().Leases)
	g.relay.Drain(plan)
	if err := g.fleet.Do(ctx, mangofleet.Drain{}); err != nil {
		return err
	}
	time.Sleep(time.Until(plan.Deregistered()))
	ctx, cancel := context.WithDeadline(ctx, plan.Exit())
	defer cancel()
	defer time.AfterFunc(time.Until(plan.Answer()), g.answerAll).Stop()
	// Shutdown also waits for connections that never carried a request. A timeout
	// is an error only if calls are still active.
	if err := server.Shutdown(ctx, mangorest.WithFirstRequest(plan.FirstRequest())); err != nil && g.relay.Active() > 0 {
		return mangomodel.NewFault(mangomodel.StepRespond, "client", mangomodel.CodeTimeout, mangomodel.RunUnknown, err)
	}
	g.logger.Info("drained", zap.Duration("Duration", time.Since(plan.Began())))
	return nil
}

// shutdownPlan returns the plan of a shutdown that begins now.
func (g *Gateway) shutdownPlan(now time.Time) mangoshutdown.Plan {
	return mangoshutdown.New(now, g.current.Load().GracePeriod.Std())
}

// answerAll ends the calls that the grace period does not cover.
func (g *Gateway) answerAll() {
	g.logger.Info("answering what is left", zap.Int("Calls", g.relay.Active()))
	g.relay.Stop()
}

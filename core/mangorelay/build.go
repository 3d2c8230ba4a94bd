package mangorelay

import (
	"context"
	"sync/atomic"
	"time"

	"mangolane/core/mangoending"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// origin is the build of the events that the client of a call has received. The
// goroutine of the call sets it, and that of a watchdog reads it.
type origin struct {
	// build is nil before the first event.
	build atomic.Pointer[mangomodel.Build]
	// ambiguous is set if the events may be of another build.
	ambiguous atomic.Bool
	// server is the one that began the stream in this call, until it was asked whether it
	// had restarted, and beganAt when its first event was received; nil if there is none.
	// Only the goroutine of the call uses them.
	server  *mangotraffic.Server
	beganAt time.Time
}

// restartTimeout bounds the wait of a broken stream for the server that began it.
const restartTimeout = 100 * time.Millisecond

// clockTolerance is by how much the clocks of hosts may differ. If they differ by more, a
// restart after the first event may be taken for one before it, or the other way round.
const clockTolerance = 500 * time.Millisecond

// check returns a fault if the stream cannot continue.
func (o *origin) check() error {
	if !o.ambiguous.Load() {
		return nil
	}
	return notRunFault(mangomodel.CodeCannotResume, "the server that began the stream has restarted with another build")
}

// bind binds a demand to the build.
func (o *origin) bind(d *mangolease.Demand) {
	if build := o.build.Load(); build != nil {
		d.Build, d.Bound = *build, true
	}
}

// allows reports whether events of a server may follow those that the client has.
func (o *origin) allows(server mangotraffic.Server) bool {
	build := o.build.Load()
	return build == nil || *build == server.Build
}

// stream identifies the stream that the client has received events of, or receives now.
func (j *job) stream() mangotraffic.StreamID {
	if j.call.LastEventID > 0 {
		return mangotraffic.StreamID{Service: j.service.Name, Request: j.call.Resumes}
	}
	return mangotraffic.StreamID{Service: j.service.Name, Request: j.call.ID}
}

// resolveOrigin determines the build of the events that the client has received of an
// earlier stream. It refuses the call if that is not known.
func (j *job) resolveOrigin(ctx context.Context) error {
	if j.call.LastEventID <= 0 || j.route.Kind != mangotraffic.KindStreaming || j.relay.origins == nil {
		return nil
	}
	build, err := j.relay.origins.Origin(ctx, j.stream())
	if err != nil {
		return err
	}
	j.origin.build.Store(&build)
	return nil
}

// acceptEvent records the build of the first event that the client receives of a stream.
// It returns a fault if an event of a continuation may be of another build. begins is set
// if the stream began in the exchange with the server.
func (j *job) acceptEvent(server mangotraffic.Server, begins bool) error {
	if j.origin.build.Load() == nil {
		j.origin.build.Store(&server.Build)
		j.origin.server, j.origin.beganAt = &server, time.Now()
		j.begin(server.Build)
	}
	// A server that was listed again with another build has restarted, and either build
	// may have sent the event.
	listed := j.listedBuild(server)
	if listed == server.Build || j.origin.ambiguous.Load() {
		return nil
	}
	if begins {
		j.origin.ambiguous.Store(true)
		j.begin(listed)
		return nil
	}
	j.avoid = append(j.avoid, server.ID)
	f := *mangomodel.AsFault(j.checkBuild(server), mangomodel.StepCall)
	f.Run = mangomodel.RunUnknown
	return &f
}

// begin records a build that may have begun the stream.
func (j *job) begin(build mangomodel.Build) {
	if j.relay.origins != nil && j.route.Retryable() {
		j.relay.origins.Begin(j.stream(), build)
	}
}

// detectRestart asks the server that began a stream, before the stream continues elsewhere,
// whether it is another incarnation than the listed one: it may have restarted with another
// build before the stream, and not be listed with it yet. One that does not reply in time
// counts as the listed one.
func (j *job) detectRestart(ctx context.Context) {
	server := j.origin.server
	if server == nil || j.origin.ambiguous.Load() {
		return
	}
	j.origin.server = nil
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	report, err := responders{j.relay}.Report(ctx, *server)
	if err != nil || mangoending.Weigh(*server, report, nil) != mangoending.EvidenceEnded {
		return
	}
	if report.Born.After(j.origin.beganAt.Add(clockTolerance)) {
		// The restart has broken the stream.
		return
	}
	j.origin.ambiguous.Store(true)
	if j.relay.origins != nil {
		j.relay.origins.Doubt(j.stream())
	}
}

// checkBuild returns a fault if the events of a leased server may not follow those that
// the client has. The server may have restarted with another build since it was leased.
func (j *job) checkBuild(server mangotraffic.Server) error {
	current := server
	current.Build = j.listedBuild(server)
	if j.origin.allows(server) && j.origin.allows(current) {
		return nil
	}
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(server.ID), mangomodel.CodeUnavailable, mangomodel.RunNot,
		"its build %q did not begin the stream", current.Build)
}

// listedBuild returns the build that the list names for a server, unless the entry is that
// of an earlier incarnation.
func (j *job) listedBuild(server mangotraffic.Server) mangomodel.Build {
	listed, ok := j.relay.fleet.View().Listed[server.ID]
	if ok && !listed.Born.Before(server.Born) {
		return listed.Build
	}
	return server.Build
}

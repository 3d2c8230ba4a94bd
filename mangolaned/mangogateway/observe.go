package mangogateway

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangofollow"
	"mangolane/core/mangohealth"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangoquarantine"
	"mangolane/core/mangoshutdown"
	"mangolane/core/mangostage"
	"mangolane/core/mangostall"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
	"mangolane/mangolaned/mangolog"
)

// observer logs and counts the events of the daemon's components.
type observer struct {
	logger  *zap.Logger
	metrics *metrics
}

// Panicked logs and counts a panic.
func (o observer) Panicked(where string, value any, stack []byte) {
	o.metrics.count("Panics", 1)
	o.logger.Error("panic", zap.String("Where", where), zap.Any("Value", value), zap.ByteString("Stack", stack))
}

// ExchangeFinished logs and counts an exchange with a server.
func (o observer) ExchangeFinished(e mangoexchange.Exchange) {
	o.metrics.exchangeFinished(e)
	o.metrics.chosen(e.Lease)
	fields := []zap.Field{
		zap.String("Request", string(e.Call.ID)), zap.Stringer("Phase", e.Phase),
		zap.String("Server", string(e.Server.ID)), zap.Uint32("Attempt", uint32(e.Attempt)),
		zap.Duration("Waited", e.Lease.Waited), zap.String("Scheduler", string(e.Lease.Scheduler)),
		zap.Int("Running", e.Lease.Running), zap.Int("Free", e.Lease.Free), zap.Int64("Peak", int64(e.Lease.Peak)), zap.Duration("Took", e.Took), zap.Duration("ListAge", e.ListAge),
	}
	fields = append(fields, placeFields(e.Call, e.Lease.Place)...)
	o.metrics.countPlace(e)
	fields = append(fields, loadFields(e.Lease)...)
	if e.Err != nil {
		if len(e.Call.Parts) > 0 {
			fields = append(fields, zap.Int("Events", e.Events), zap.Any("Parts", e.Call.Parts))
		}
		fields = append(fields, zap.Duration("Age", e.Age), zap.Stringer("EndedBy", e.EndedBy))
		o.logger.Info("exchange failed", append(fields, mangolog.FaultFields(e.Err)...)...)
		return
	}
	o.logger.Debug("exchange", fields...)
}

// ExchangeStalled logs and counts a timeout of an exchange.
func (o observer) ExchangeStalled(id mangomodel.RequestID, s mangostall.Stall) {
	o.metrics.count("Exchanges.Stalled", 1)
	fields := []zap.Field{
		zap.String("Request", string(id)), zap.String("Server", string(s.Server.ID)), zap.Duration("Silence", s.Silence),
		zap.Bool("Responsive", s.Responsive), zap.Bool("Secured", s.Secured),
	}
	if s.Err != nil {
		fields = append(fields, mangolog.FaultFields(s.Err)...)
	}
	o.logger.Info("exchange stalled", fields...)
}

// DrainBegun logs the plan of a graceful shutdown, and the calls and leases at its
// beginning.
func (o observer) DrainBegun(p mangoshutdown.Plan, calls, leases int) {
	o.logger.Info("draining", zap.Int("Calls", calls), zap.Int("Leases", leases),
		zap.Duration("Deregistered", p.Deregistered().Sub(p.Began())), zap.Duration("LastRequest", p.LastRequest().Sub(p.Began())),
		zap.Duration("Answer", p.Answer().Sub(p.Began())), zap.Duration("Exit", p.Exit().Sub(p.Began())))
}

// CallFinished logs and counts the outcome of a call.
func (o observer) CallFinished(r mangoexchange.Result) {
	o.metrics.callFinished(r)
	fields := []zap.Field{
		zap.String("Request", string(r.Call.ID)), zap.Uint64("Revision", uint64(r.Revision)),
		zap.Int("Status", r.Status), zap.Uint32("Attempts", uint32(r.Attempts)),
		zap.Duration("First", r.TimeToFirstByte), zap.Duration("Took", r.Took), zap.Bool("OnTime", r.OnTime()),
	}
	if r.Route != nil {
		fields = append(fields, zap.String("Route", string(r.Route.Name)))
	}
	if refusedKey(r) && r.Call.HasKey {
		// The first digits of its digest.
		fields = append(fields, zap.Stringer("Key", r.Call.Key))
	}
	fields = append(fields, placeFields(r.Call, r.Place)...)
	if r.Events > 0 {
		fields = append(fields, zap.Int("Events", r.Events), zap.Duration("LongestPause", r.LongestPause))
	}
	if r.Err != nil {
		fields = append(append(fields, zap.Stringer("EndedBy", r.EndedBy)), mangolog.FaultFields(r.Err)...)
		fields = append(fields, quotaFields(r.Err)...)
	}
	o.logger.Info("call finished", fields...)
}

// PlatformLost logs and counts that a record of the platform can no longer be read.
func (o observer) PlatformLost(r mangofollow.Record, err error) {
	o.metrics.count("Platform.Lost", 1)
	o.logger.Warn("platform lost", append(mangolog.FaultFields(err), zap.String("Record", string(r)))...)
}

// PlatformRegained logs that a record of the platform can be read again.
func (o observer) PlatformRegained(r mangofollow.Record, after time.Duration) {
	o.logger.Info("platform regained", zap.String("Record", string(r)), zap.Duration("After", after))
}

// ArchiveLost logs and counts that records of calls that crash servers can no longer be
// saved.
func (o observer) ArchiveLost(err error) {
	o.metrics.count("Archive.Lost", 1)
	o.logger.Warn("archive lost", mangolog.FaultFields(err)...)
}

// ArchiveRegained logs that such records can be saved again.
func (o observer) ArchiveRegained(after time.Duration) {
	o.logger.Info("archive regained", zap.Duration("After", after))
}

// ArchiveRestored logs how many such records were read at the start.
func (o observer) ArchiveRestored(rows int) { o.logger.Info("archive restored", zap.Int("Rows", rows)) }

// RoutingRejected logs a configuration that was read but not applied.
func (o observer) RoutingRejected(rev mangomodel.Revision, at mangotraffic.Cursor, err error) {
	o.logger.Warn("configuration not applied", append(mangolog.FaultFields(err), zap.Uint64("Revision", uint64(rev)), zap.Stringer("Cursor", at))...)
}

// EntriesLeftOut logs and counts the entries of a configuration that are not used.
func (o observer) EntriesLeftOut(rev mangomodel.Revision, problems []mangoworkspace.Problem) {
	o.metrics.count("Configuration.LeftOut", int64(len(problems)))
	for _, p := range problems[:min(len(problems), maxLoggedChanges)] {
		o.logger.Warn("configuration entry left out", zap.Uint64("Revision", uint64(rev)), zap.String("Workspace", string(p.Workspace)),
			zap.String("Field", p.Field), zap.String("Value", p.Value), zap.String("Want", p.Want))
	}
	if more := len(problems) - maxLoggedChanges; more > 0 {
		o.logger.Warn("configuration entries left out", zap.Uint64("Revision", uint64(rev)), zap.Int("More", more))
	}
}

// RoutingChanged logs the activation of a configuration.
func (o observer) RoutingChanged(rev mangomodel.Revision, from mangomodel.PeerName) {
	o.logger.Info("configuration in force", zap.Uint64("Revision", uint64(rev)), zap.String("From", string(from)))
}

// HealthChanged logs that a server was ejected or is used again, and counts
// ejections.
func (o observer) HealthChanged(server mangotraffic.Server, r mangohealth.Record, now time.Time) {
	fields := []zap.Field{
		zap.String("Server", string(server.ID)), zap.String("Service", string(server.Service)), zap.Int("Failures", r.Failures),
	}
	if r.Usable(now) {
		o.logger.Info("server used again", fields...)
		return
	}
	o.metrics.count("Servers.SetAside", 1)
	o.logger.Info("server set aside", append(fields, zap.Duration("For", r.Until.Sub(now)))...)
}

// ServerWithdrawn logs and counts that a server has announced that it leaves.
func (o observer) ServerWithdrawn(server mangotraffic.ServerRef, request mangomodel.RequestID, from mangomodel.PeerName) {
	o.metrics.count("Servers.Withdrawn", 1)
	o.logger.Info("server withdrawn",
		zap.String("Server", string(server.ID)), zap.Time("Born", server.Born), zap.String("Request", string(request)), zap.String("From", string(from)))
}

// BackoffAsked logs and counts that a server has asked this daemon for time, and figures
// that are no time.
func (o observer) BackoffAsked(a mangolease.Announcement) {
	fields := []zap.Field{zap.String("Server", string(a.Server.ID)), zap.String("Request", string(a.Request))}
	if a.Invalid != nil {
		o.metrics.count("Servers.InvalidBackoff", 1)
		o.logger.Warn("server asked for an invalid time", append(fields, zap.Duration("For", a.Backoff), zap.Error(a.Invalid))...)
	}
	if a.Backoff > 0 {
		o.metrics.count("Servers.BackedOff", 1)
		o.logger.Info("server asked for time", append(fields, zap.Duration("For", a.Backoff), zap.Time("Until", time.Now().Add(a.Backoff)))...)
	}
}

// ServerSkipped logs and counts that a call was not sent to the server leased for it.
func (o observer) ServerSkipped(request mangomodel.RequestID, server mangomodel.ServerID, err error) {
	o.metrics.count("Servers.Skipped", 1)
	o.logger.Info("server skipped", append(mangolog.FaultFields(err), zap.String("Request", string(request)), zap.String("Server", string(server)))...)
}

// PartChanged logs that a part of prompts is quarantined or no longer recorded, and
// counts quarantines.
func (o observer) PartChanged(c mangoquarantine.Change, now time.Time) {
	if c.Record.Crashes == 0 {
		o.logger.Info("part released", zap.String("Part", string(c.Part)))
		return
	}
	o.metrics.count("Parts.Quarantined", 1)
	o.logger.Warn("part quarantined", zap.String("Part", string(c.Part)), zap.Any("Tied", c.Record.Tied), zap.Int("Crashes", c.Record.Crashes),
		zap.Duration("For", c.Record.Until().Sub(now)))
}

// maxLoggedChanges is the number of changes to the server list that are logged
// individually. Logging thousands at once would block the control goroutine.
const maxLoggedChanges = 64

// ServersChanged logs changes to the server list, or a whole list in one line.
func (o observer) ServersChanged(c mangofleet.ChangeServers) {
	from := []zap.Field{
		zap.Duration("Age", c.Age), zap.String("From", string(c.From)), zap.Stringer("Cursor", c.Cursor),
	}
	if c.Full || len(c.Changes) > maxLoggedChanges {
		o.logger.Info("servers listed", append(from, zap.Int("Servers", len(c.Changes)), zap.Bool("Full", c.Full))...)
		return
	}
	for _, change := range c.Changes {
		o.logger.Info("server listed", append(from, zap.Object("Server", serverChangeObject(change)))...)
	}
}

// ListIgnored logs and counts changes to the server list that are not applied. Those of
// other daemons that are a few changes behind are usual, and only counted.
func (o observer) ListIgnored(c mangofleet.ChangeServers, reached mangotraffic.Cursor) {
	o.metrics.count("Lists.Ignored", 1)
	if c.Cursor.Era == reached.Era && !c.FromPlatform() {
		return
	}
	o.logger.Warn("list ignored", zap.String("From", string(c.From)), zap.Bool("Full", c.Full), zap.Int("Changes", len(c.Changes)),
		zap.Stringer("After", c.After), zap.Stringer("Cursor", c.Cursor), zap.Stringer("Reached", reached))
}

// StoreRestored logs and counts that the platform's store has come back from an older copy.
func (o observer) StoreRestored(from, to mangotraffic.Cursor) {
	o.metrics.count("Platform.Restored", 1)
	o.logger.Warn("platform restored from an older copy", zap.Stringer("Reached", from), zap.Stringer("Cursor", to))
}

// EntryDeferred logs and counts an entry that is not used for some time.
func (o observer) EntryDeferred(server mangotraffic.ServerRef, d time.Duration) {
	o.metrics.count("Servers.Deferred", 1)
	o.logger.Info("server deferred", zap.String("Server", string(server.ID)), zap.Time("Born", server.Born), zap.Duration("For", d))
}

// serverChangeObject marshals a change to the server list as one log object.
type serverChangeObject mangotraffic.ServerChange

// MarshalLogObject writes the entry, or that it was removed or is unusable.
func (c serverChangeObject) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("ID", string(c.ID))
	if c.Server == nil {
		enc.AddBool("Gone", true)
		enc.AddDuration("Grace", c.Grace)
		return nil
	}
	enc.AddString("Service", string(c.Server.Service))
	enc.AddString("Address", string(c.Server.Address))
	enc.AddString("DataCentre", string(c.Server.DataCentre))
	enc.AddString("Stage", c.Server.Stage.String())
	enc.AddString("State", c.Server.State.String())
	if c.Server.Build != "" {
		enc.AddString("Build", string(c.Server.Build))
	}
	return nil
}

// PeerLost logs and counts that another daemon does not respond.
func (o observer) PeerLost(at mangomodel.Address, err error) {
	o.metrics.count("Peers.Lost", 1)
	o.logger.Warn("daemon lost", append(mangolog.FaultFields(err), zap.String("Address", string(at)))...)
}

// PeerRegained logs that another daemon responds again.
func (o observer) PeerRegained(at mangomodel.Address) {
	o.logger.Info("daemon regained", zap.String("Address", string(at)))
}

// SchedulerChanged logs which daemon schedules a service.
func (o observer) SchedulerChanged(service mangotraffic.ServiceName, to mangomodel.DaemonID) {
	o.logger.Info("scheduler chosen", zap.String("Service", string(service)), zap.String("Scheduler", string(to)))
}

// FetchFailed logs that no snapshot could be fetched from a daemon.
func (o observer) FetchFailed(at mangomodel.Address, err error) {
	o.logger.Warn("snapshot not fetched", append(mangolog.FaultFields(err), zap.String("Address", string(at)))...)
}

// ReportFailed logs and counts a failed load report of an engine.
func (o observer) ReportFailed(server mangotraffic.Server, err error) {
	o.metrics.count("Reports.Failed", 1)
	o.logger.Debug("no report", append(mangolog.FaultFields(err), zap.String("Server", string(server.ID)))...)
}

// StageChangeOrdered logs and counts an order to an engine to change its stage, or
// why it failed.
func (o observer) StageChangeOrdered(c mangopool.StageChange, fence mangostage.FencingToken, err error) {
	fields := []zap.Field{
		zap.String("Server", string(c.Server.ID)), zap.Stringer("To", c.To), zap.Uint64("Fence", uint64(fence)),
		zap.Int("Prefillers", c.Prefillers), zap.Int("Decoders", c.Decoders), zap.Int("Wanted", c.Wanted),
	}
	if err != nil {
		o.metrics.count("Orders.Failed", 1)
		o.logger.Warn("engine not moved", append(fields, mangolog.FaultFields(err)...)...)
		return
	}
	o.metrics.count("Orders.Done", 1)
	o.logger.Info("engine moved", fields...)
}

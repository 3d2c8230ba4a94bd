package mangosettings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"

	"mangolane/core/mangobound"
	"mangolane/core/mangobudget"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangoload"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoshare"
	"mangolane/core/mangoworkspace"
)

// Gateway holds the settings of a daemon that routes calls for a platform.
// Fields after RetryWindow are optional.
type Gateway struct {
	Daemon     mangomodel.DaemonID
	DataCentre mangomodel.DataCentreID
	// Regions maps each data centre to its region.
	Regions map[mangomodel.DataCentreID]mangomodel.RegionID
	// Front, Readiness, Peer and Metrics are the listen addresses for client
	// requests, readiness checks of the platform's load balancer, other daemons
	// and metrics.
	Front, Readiness, Peer, Metrics mangomodel.Address
	// Platform is the address of the platform's store.
	Platform mangomodel.Address
	// GracePeriod is the time between SIGTERM and the end of the process.
	GracePeriod mangomodel.Duration
	// RetryRatio, RetryFixed and RetryWindow bound the retries of one service
	// by all daemons together: within RetryWindow at most RetryRatio times the
	// number of calls, plus RetryFixed.
	RetryRatio  mangomodel.Share
	RetryFixed  float64
	RetryWindow mangomodel.Duration

	// DrainTime and ConfigTime are the times within which a server that has left is out
	// of use and a configuration in force, from the platform's acknowledgement. Less than
	// [mangobound.Min] cannot be held.
	DrainTime, ConfigTime mangomodel.Duration `json:",omitempty"`
	// BasicShare is the number of grants of a service of which one goes to less urgent
	// calls while more urgent ones wait, where the configuration has workspaces.
	BasicShare int `json:",omitempty"`
	// OrderLease is the time after a daemon's stage change order during which
	// no other daemon may order the engines of the same service.
	OrderLease mangomodel.Duration `json:",omitempty"`
	// QuotaTolerance is the share of a workspace's limit by which the platform tolerates
	// that it is exceeded. A part of it is used while some daemons do not respond, so that
	// these do not reduce the limits.
	QuotaTolerance mangomodel.Share `json:",omitempty"`
	// QuotaSlack is the amount, in the unit of a workspace's limit, by which the platform
	// tolerates in addition that a workspace exceeds its limit within a window.
	QuotaSlack mangoworkspace.Amount `json:",omitempty"`
	// ServerChoice is how plain servers are chosen. DistanceCost is the cost of a step of
	// distance for ChoiceEstimated, as an increase of load.
	ServerChoice mangoload.Choice `json:",omitempty"`
	DistanceCost float64          `json:",omitempty"`
	// FirstStart is set while the whole installation starts for the first time, so that no
	// backend server has served before.
	FirstStart bool `json:",omitempty"`
	// Seeds are addresses of other daemons to contact at startup.
	Seeds []mangomodel.Address `json:",omitempty"`
	// Cores is the number of cores; a value below 1 counts as 1. CoreShare is
	// the usable fraction of each core, and LinkRate the capacity of the network
	// link in Mbit/s; zero means no limit for both.
	Cores, CoreShare float64 `json:",omitempty"`
	LinkRate         float64 `json:",omitempty"`
	// MemoryLimit bounds the memory of the process, in bytes; zero means no
	// limit.
	MemoryLimit mangomodel.Bytes `json:",omitempty"`
	// BodyMemory bounds the memory for the bodies of all calls and responses together,
	// in bytes. The default follows from MemoryLimit; zero without one means no limit.
	BodyMemory mangomodel.Bytes `json:",omitempty"`
	// ClientConnections bounds the connections of clients, HeadMemory the memory for the
	// heads of their requests, in bytes, and ClientStall how long a client may take to read
	// 32 KiB. The defaults follow from the descriptors and from BodyMemory.
	ClientConnections int                 `json:",omitempty"`
	HeadMemory        mangomodel.Bytes    `json:",omitempty"`
	ClientStall       mangomodel.Duration `json:",omitempty"`
	// TraceSpans is the number of finished spans to keep.
	TraceSpans int `json:",omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:",omitempty"`
	// LogRate is the maximum number of log lines written per second.
	LogRate int `json:",omitempty"`
}

// defaultGatewaySpans covers about a minute of a daemon's calls, at some
// hundred bytes per span.
const defaultGatewaySpans = 1024

// defaultOrderLease is the order lease in the users' deployment specifications.
const defaultOrderLease = 3 * time.Second

// defaultLogRate, in lines per second, allows five lines per call at the
// users' peak of 20 calls per second and daemon, and ten times that in bursts.
const defaultLogRate = 1000

// maxQuotaTolerance is the largest tolerance beyond a quota that a deployment may set.
const maxQuotaTolerance = 1

// lentTolerance is the part of QuotaTolerance that may be lent. The rest covers calls that
// were granted up to 150 ms before the window in which they begin, and refunds.
const lentTolerance = 0.8

// LentTolerance returns the share of a limit that may be lent in addition to the shares of
// the daemons that are present.
func (s *Gateway) LentTolerance() mangomodel.Share { return lentTolerance * s.QuotaTolerance }

// lentSlack is the part of QuotaSlack that extends the bursts of all workspaces. Workspaces
// with small limits need it: a burst of one second is two generations there, and calls
// that arrive at random exceed it although the workspace is far below its rate. The rest
// is kept for the same reason as that of QuotaTolerance.
const lentSlack = 0.75

// BurstExtension returns by how much more than its burst a workspace may use at once.
func (s *Gateway) BurstExtension() mangoworkspace.Amount { return lentSlack * s.QuotaSlack }

// ReadGateway reads a gateway's settings from a file, applies the defaults and
// checks them.
func ReadGateway(path string) (Gateway, error) {
	data, err := readFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(data)
}

// ParseGateway decodes a gateway's settings, applies the defaults and checks
// them.
func ParseGateway(data []byte) (Gateway, error) {
	s, err := mangoconfig.Decode[Gateway](data)
	if err != nil {
		return s, err
	}
	setDefault(&s.TraceSpans, defaultGatewaySpans)
	setDefault(&s.LogLevel, defaultLogLevel)
	setDefault(&s.LogRate, defaultLogRate)
	setDefault(&s.DrainTime, mangomodel.Duration(mangobound.Standard))
	setDefault(&s.ConfigTime, mangomodel.Duration(mangobound.Standard))
	setDefault(&s.OrderLease, mangomodel.Duration(defaultOrderLease))
	setDefault(&s.BasicShare, mangoshare.DefaultBasicShare)
	setDefault(&s.DistanceCost, mangoload.DefaultDistanceCost)
	setDefault(&s.BodyMemory, defaultBodyMemory(s.MemoryLimit))
	return s, s.check()
}

const (
	// callMemory is the part of the memory limit that is kept for the process and for
	// what calls take besides their bodies, in bytes.
	callMemory mangomodel.Bytes = 40 << 20
	// minBodyMemory lets one body of the default size limit be held.
	minBodyMemory mangomodel.Bytes = 8 << 20
	// bodyShare and maxBodyShare are the shares of the rest and of the whole limit that
	// bodies may take. What is left is for bodies that are no longer used and not yet
	// collected.
	bodyShare, maxBodyShare = 0.85, 0.6
)

// defaultBodyMemory returns the memory for bodies of a process with a memory limit, or
// zero.
func defaultBodyMemory(limit mangomodel.Bytes) mangomodel.Bytes {
	if limit <= 0 {
		return 0
	}
	n := min(bodyShare*float64(limit-callMemory), maxBodyShare*float64(limit))
	return max(mangomodel.Bytes(n), minBodyMemory)
}

func (s *Gateway) check() error {
	if s.Daemon == "" || s.DataCentre == "" {
		return invalid("Daemon and DataCentre are required")
	}
	if s.Regions[s.DataCentre] == "" {
		return invalid("Regions has no region for data centre %s", s.DataCentre)
	}
	addrs := []struct {
		name string
		addr mangomodel.Address
	}{{"Front", s.Front}, {"Readiness", s.Readiness}, {"Peer", s.Peer}, {"Metrics", s.Metrics}, {"Platform", s.Platform}}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(string(a.addr)); err != nil {
			return invalid("%s must be an IP address with a port: %v", a.name, err)
		}
	}
	for _, a := range s.Seeds {
		if _, err := netip.ParseAddrPort(string(a)); err != nil {
			return invalid("Seeds must be IP addresses with ports: %v", err)
		}
	}
	if s.GracePeriod.Std() < time.Second {
		return invalid("GracePeriod must be at least 1 s")
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 || s.RetryFixed < 0 || s.RetryWindow.Std() < time.Second {
		return invalid("RetryRatio must be between 0 and 1, RetryFixed at least 0, RetryWindow at least 1 s")
	}
	if s.QuotaTolerance < 0 || s.QuotaTolerance > maxQuotaTolerance {
		return invalid("QuotaTolerance must be between 0 and %v", maxQuotaTolerance)
	}
	if s.QuotaSlack < 0 {
		return invalid("QuotaSlack must be at least 0")
	}
	if s.ChangeTime() <= 0 {
		return invalid("DrainTime and ConfigTime must be above 0")
	}
	if s.Cores < 0 || s.CoreShare < 0 || s.LinkRate < 0 {
		return invalid("Cores, CoreShare and LinkRate must be at least 0")
	}
	if s.MemoryLimit < 0 || s.LogRate < 1 || s.TraceSpans < 1 || s.OrderLease < 0 {
		return invalid("MemoryLimit and OrderLease must be at least 0, LogRate and TraceSpans at least 1")
	}
	if s.BasicShare < 2 {
		return invalid("BasicShare must be at least 2, since urgent calls go first")
	}
	if s.DistanceCost < 0 || s.DistanceCost > 1 {
		return invalid("DistanceCost must be between 0 and 1")
	}
	if s.BodyMemory < 0 || s.MemoryLimit > 0 && s.BodyMemory > s.MemoryLimit {
		return invalid("BodyMemory must be at least 0 and at most MemoryLimit")
	}
	if s.ClientConnections < 0 || s.HeadMemory < 0 || s.ClientStall < 0 || s.MemoryLimit > 0 && s.HeadMemory > s.MemoryLimit {
		return invalid("ClientConnections, HeadMemory and ClientStall must be at least 0, HeadMemory at most MemoryLimit")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		return invalid("LogLevel: %v", err)
	}
	return nil
}

// ChangeTime returns the time within which a change of any of the platform's records has
// to be in force.
func (s *Gateway) ChangeTime() time.Duration { return min(s.DrainTime.Std(), s.ConfigTime.Std()) }

// retryShare is the fraction of the platform's retry allowance that is used.
// The rest covers daemons that restart with an unused budget or have fewer
// daemons in their roster than are running.
const retryShare = 0.9

// RetryLimits returns the retry budget of a service for a daemon with the given
// uptime. Retries before the start are not recorded, so a daemon that has been
// up for less than RetryWindow gets only the elapsed fraction of RetryFixed.
func (s *Gateway) RetryLimits(up time.Duration) mangobudget.Limits {
	elapsed := min(up.Seconds()/s.RetryWindow.Std().Seconds(), 1)
	return mangobudget.Limits{
		Ratio:  retryShare * float64(s.RetryRatio),
		Fixed:  retryShare * elapsed * s.RetryFixed,
		Window: s.RetryWindow.Std(),
	}
}

const (
	// minSchedulerCores leaves enough processor time for calls: scheduling a
	// hundred daemons takes some hundredths of a core.
	minSchedulerCores = 0.35
	// minSchedulerLinkRate, in Mbit/s, carries the renewals of a hundred
	// daemons with headroom.
	minSchedulerLinkRate = 90
)

// CanSchedule reports whether the daemon has the capacity to schedule a large
// fleet.
func (s *Gateway) CanSchedule() bool {
	cores := s.CoreShare * max(s.Cores, 1)
	return (cores == 0 || cores >= minSchedulerCores) && (s.LinkRate == 0 || s.LinkRate >= minSchedulerLinkRate)
}

package mangosettings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"

	"mangolane/core/mangobudget"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

// Gateway are the settings of a daemon that routes calls for a platform.
// Fields after RetryWindow are optional.
type Gateway struct {
	Daemon     mangomodel.DaemonID
	DataCentre mangomodel.DataCentreID
	// Regions says which region each data centre is in.
	Regions map[mangomodel.DataCentreID]mangomodel.RegionID
	// Front, Readiness, Peer and Metrics are the addresses to listen on for
	// clients, for the platform's balancer, for other daemons and for metrics.
	Front, Readiness, Peer, Metrics mangomodel.Address
	// Platform is the address of the platform's store.
	Platform mangomodel.Address
	// GracePeriod is the time between SIGTERM and the end of the process.
	GracePeriod mangomodel.Duration
	// RetryRatio, RetryFixed and RetryWindow bound the calls that all daemons
	// together send to a second server of one service.
	RetryRatio  mangomodel.Share
	RetryFixed  float64
	RetryWindow mangomodel.Duration

	// OrderLease is how long after a daemon's order no other daemon may order
	// the same servers.
	OrderLease mangomodel.Duration `json:",omitempty"`
	// Seeds are addresses of other daemons to start from.
	Seeds []mangomodel.Address `json:",omitempty"`
	// Cores and CoreShare say how much of how many cores the daemon has, and
	// LinkRate, in Mbit/s, how much its link carries; zero means plenty.
	Cores, CoreShare float64 `json:",omitempty"`
	LinkRate         float64 `json:",omitempty"`
	// MemoryLimit is what the process may take, in bytes; zero sets none.
	MemoryLimit mangomodel.Bytes `json:",omitempty"`
	// TraceSpans is how many finished spans are kept.
	TraceSpans int `json:",omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:",omitempty"`
	// LogRate is how many log lines a second are written at most.
	LogRate int `json:",omitempty"`
}

// defaultGatewaySpans keeps about a minute of a daemon's calls at some hundred
// bytes a span.
const defaultGatewaySpans = 1024

// defaultOrderLease is the lease of the users' sheets.
const defaultOrderLease = 3 * time.Second

// defaultLogRate bounds the log of one daemon, in lines a second: five lines
// for each of the users' peak of 20 calls a second and daemon, with room for a
// burst of ten times as many.
const defaultLogRate = 1000

// ReadGateway reads, completes and checks a gateway's settings in a file.
func ReadGateway(path string) (Gateway, error) {
	data, err := readFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(data)
}

// ParseGateway completes and checks the settings in a document.
func ParseGateway(data []byte) (Gateway, error) {
	s, err := mangoconfig.Decode[Gateway](data)
	if err != nil {
		return s, err
	}
	fill(&s.TraceSpans, defaultGatewaySpans)
	fill(&s.LogLevel, defaultLogLevel)
	fill(&s.LogRate, defaultLogRate)
	fill(&s.OrderLease, mangomodel.Duration(defaultOrderLease))
	return s, s.check()
}

func (s *Gateway) check() error {
	if s.Daemon == "" || s.DataCentre == "" {
		return invalid("Daemon and DataCentre are needed")
	}
	if s.Regions[s.DataCentre] == "" {
		return invalid("Regions does not name the region of %s", s.DataCentre)
	}
	addrs := []struct {
		name string
		addr mangomodel.Address
	}{{"Front", s.Front}, {"Readiness", s.Readiness}, {"Peer", s.Peer}, {"Metrics", s.Metrics}, {"Platform", s.Platform}}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(string(a.addr)); err != nil {
			return invalid("%s must be an IP number with a port: %v", a.name, err)
		}
	}
	for _, a := range s.Seeds {
		if _, err := netip.ParseAddrPort(string(a)); err != nil {
			return invalid("Seeds must be IP numbers with ports: %v", err)
		}
	}
	if s.GracePeriod.Std() < time.Second {
		return invalid("GracePeriod must be at least a second")
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 || s.RetryFixed < 0 || s.RetryWindow.Std() < time.Second {
		return invalid("RetryRatio must be between 0 and 1, RetryFixed at least 0, RetryWindow at least a second")
	}
	if s.Cores < 0 || s.CoreShare < 0 || s.LinkRate < 0 {
		return invalid("Cores, CoreShare and LinkRate must be at least 0")
	}
	if s.MemoryLimit < 0 || s.LogRate < 1 || s.TraceSpans < 1 || s.OrderLease < 0 {
		return invalid("MemoryLimit and OrderLease must be at least 0, LogRate and TraceSpans at least 1")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		return invalid("LogLevel: %v", err)
	}
	return nil
}

// retryShare is the part of the platform's retry allowance that is used. The
// rest covers daemons that restart with an unused budget or see fewer daemons
// than there are.
const retryShare = 0.9

// RetryLimits returns the retry budget of a service. A daemon that started a while
// ago uses the part of a window that it has been up for, since it does not know
// what was used before.
func (s *Gateway) RetryLimits(up time.Duration) mangobudget.Limits {
	part := min(up.Seconds()/s.RetryWindow.Std().Seconds(), 1)
	return mangobudget.Limits{
		Ratio:  retryShare * float64(s.RetryRatio),
		Fixed:  retryShare * part * s.RetryFixed,
		Window: s.RetryWindow.Std(),
	}
}

const (
	// strongCores is the processor that scheduling a hundred daemons leaves
	// enough of for calls: it takes some hundredths of a core.
	strongCores = 0.35
	// strongLink, in Mbit/s, carries a hundred daemons' renewals with room.
	strongLink = 90
)

// CanSchedule reports whether the daemon may schedule a large fleet.
func (s *Gateway) CanSchedule() bool {
	cores := s.CoreShare * max(s.Cores, 1)
	return (cores == 0 || cores >= strongCores) && (s.LinkRate == 0 || s.LinkRate >= strongLink)
}

// Package mangosettings reads and checks the settings of a daemon.
//
// Settings are one JSON document. An unknown field, a missing one or a value
// out of range is reported with its place, and the daemon does not start.
//
// # Usage
//
//	settings, err := mangosettings.Read("daemon.json")
//
// A smallest document:
//
//	{
//	  "Daemon": "a1", "Region": "almaty", "DataCentre": "almaty-a",
//	  "Front": "127.0.0.1:7001", "Admin": "127.0.0.1:7101", "Peer": "127.0.0.1:7201",
//	  "Platform": "127.0.0.1:7900", "OperatorKeyHash": "..."
//	}
package mangosettings

import (
	"encoding/hex"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"mangolane/core/mangoagent"
	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

// Settings are the settings of one daemon. Fields after OperatorKeyHash are
// optional.
type Settings struct {
	Daemon     mangomodel.DaemonID
	Region     mangomodel.RegionID
	DataCentre mangomodel.DataCentreID
	// Front, Admin and Peer are the addresses to listen on for callers, for
	// operators and for other daemons.
	Front, Admin, Peer mangomodel.Address
	// Platform is the address of the platform's services.
	Platform mangomodel.Address
	// OperatorKeyHash is the hexadecimal SHA-256 of the operators' key.
	OperatorKeyHash string

	// Seeds are addresses of other daemons to start from.
	Seeds []mangomodel.Address `json:",omitempty"`
	// RandomSeed is the seed of random choices; zero means 1.
	RandomSeed uint64 `json:",omitempty"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout mangomodel.Duration `json:",omitempty"`
	// MaxBody bounds the body of a caller's request.
	MaxBody mangomodel.Bytes `json:",omitempty"`
	// MaxTokens bounds the answer that a caller may ask for.
	MaxTokens mangomodel.Tokens `json:",omitempty"`
	// ProbeInterval, LoadInterval, RenewInterval, FollowInterval and
	// HostListInterval are the pauses between the exchanges of the workers.
	ProbeInterval    mangomodel.Duration `json:",omitempty"`
	LoadInterval     mangomodel.Duration `json:",omitempty"`
	RenewInterval    mangomodel.Duration `json:",omitempty"`
	FollowInterval   mangomodel.Duration `json:",omitempty"`
	HostListInterval mangomodel.Duration `json:",omitempty"`
	// TableWrites is how many writes a second all daemons together make in
	// the table service for entries.
	TableWrites float64 `json:",omitempty"`
	// TraceSpans is how many finished spans are kept.
	TraceSpans int `json:",omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:",omitempty"`
}

// Defaults of optional settings.
const (
	defaultDrainTimeout                   = 2 * time.Minute
	defaultMaxBody      mangomodel.Bytes  = 1 << 20
	defaultMaxTokens    mangomodel.Tokens = 4096
	defaultTraceSpans                     = 4096
	defaultLogLevel                       = "info"
	shortestPause                         = 10 * time.Millisecond
)

// Read reads, completes and checks the settings in a file.
func Read(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, mangomodel.NewFault(mangomodel.StepParse, mangomodel.PeerName(path),
			mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	return data, nil
}

// Parse completes and checks the settings in a document.
func Parse(data []byte) (Settings, error) {
	s, err := mangoconfig.Decode[Settings](data)
	if err != nil {
		return s, err
	}
	s.complete()
	return s, s.check()
}

func (s *Settings) complete() {
	fill(&s.DrainTimeout, mangomodel.Duration(defaultDrainTimeout))
	fill(&s.MaxBody, defaultMaxBody)
	fill(&s.MaxTokens, defaultMaxTokens)
	fill(&s.ProbeInterval, mangomodel.Duration(mangoagent.DefaultProbeInterval))
	fill(&s.LoadInterval, mangomodel.Duration(mangoagent.DefaultLoadInterval))
	fill(&s.RenewInterval, mangomodel.Duration(mangoagent.DefaultRenewInterval))
	fill(&s.FollowInterval, mangomodel.Duration(mangoagent.DefaultFollowInterval))
	fill(&s.HostListInterval, mangomodel.Duration(mangoagent.DefaultHostListInterval))
	fill(&s.TableWrites, mangocommand.DefaultTableWrites)
	fill(&s.TraceSpans, defaultTraceSpans)
	fill(&s.LogLevel, defaultLogLevel)
	fill(&s.RandomSeed, 1)
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) check() error {
	if s.Daemon == "" || s.Region == "" || s.DataCentre == "" {
		return invalid("Daemon, Region and DataCentre are needed")
	}
	addrs := append([]mangomodel.Address{s.Front, s.Admin, s.Peer, s.Platform}, s.Seeds...)
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(string(a)); err != nil {
			return invalid("Front, Admin, Peer, Platform and Seeds must be IP numbers with ports: %v", err)
		}
	}
	if hash, err := hex.DecodeString(s.OperatorKeyHash); err != nil || len(hash) != 32 {
		return invalid("OperatorKeyHash must be 64 hexadecimal digits")
	}
	for _, d := range []mangomodel.Duration{s.ProbeInterval, s.LoadInterval, s.RenewInterval, s.FollowInterval, s.HostListInterval} {
		if d.Std() < shortestPause {
			return invalid("an interval must be at least %v", shortestPause)
		}
	}
	if s.DrainTimeout <= 0 || s.MaxBody <= 0 || s.MaxTokens <= 0 || s.TraceSpans <= 0 || s.TableWrites <= 0 {
		return invalid("DrainTimeout, MaxBody, MaxTokens, TableWrites and TraceSpans must be positive")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		return invalid("LogLevel: %v", err)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepParse, "settings", mangomodel.CodeInvalid, mangomodel.RunNot, format, args...)
}

// Package mangosettings reads and checks the settings of a daemon.
//
// Settings are one JSON document. Unknown fields, missing required fields and
// values out of range are errors that name the line or the field; the daemon
// then does not start.
//
// # Usage
//
//	settings, err := mangosettings.Read("daemon.json")
//
// A minimal document:
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

// Settings holds the settings of one daemon. Fields after OperatorKeyHash are
// optional.
type Settings struct {
	Daemon     mangomodel.DaemonID
	Region     mangomodel.RegionID
	DataCentre mangomodel.DataCentreID
	// Front, Admin and Peer are the listen addresses for callers, operators and
	// other daemons.
	Front, Admin, Peer mangomodel.Address
	// Platform is the address of the platform's services.
	Platform mangomodel.Address
	// OperatorKeyHash is the SHA-256 of the operators' key, in hexadecimal.
	OperatorKeyHash string

	// Seeds are addresses of other daemons to contact at startup.
	Seeds []mangomodel.Address `json:",omitempty"`
	// RandomSeed seeds the random choices; zero means 1.
	RandomSeed uint64 `json:",omitempty"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout mangomodel.Duration `json:",omitempty"`
	// BodyMemory bounds the memory for the bodies of all callers' requests together, in
	// bytes; a body takes three times its size.
	BodyMemory mangomodel.Bytes `json:",omitempty"`
	// MaxBody bounds the body of a caller's request, in bytes.
	MaxBody mangomodel.Bytes `json:",omitempty"`
	// MaxTokens bounds the number of generated tokens that a caller may request.
	MaxTokens mangomodel.Tokens `json:",omitempty"`
	// ProbeInterval, LoadInterval, RenewInterval, FollowInterval and
	// HostListInterval are the intervals between the exchanges of the background
	// workers.
	ProbeInterval    mangomodel.Duration `json:",omitempty"`
	LoadInterval     mangomodel.Duration `json:",omitempty"`
	RenewInterval    mangomodel.Duration `json:",omitempty"`
	FollowInterval   mangomodel.Duration `json:",omitempty"`
	HostListInterval mangomodel.Duration `json:",omitempty"`
	// TableWrites limits the writes per second of entries to the table service,
	// by all daemons together.
	TableWrites float64 `json:",omitempty"`
	// TraceSpans is the number of finished spans to keep.
	TraceSpans int `json:",omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:",omitempty"`
}

// Defaults of optional settings.
const (
	defaultDrainTimeout                  = 2 * time.Minute
	defaultMaxBody      mangomodel.Bytes = 1 << 20
	// defaultCallerMemory has room for 80 bodies of the default size limit at a time.
	defaultCallerMemory mangomodel.Bytes = 256 << 20
	// bodyFactor lets one body of the size limit be read and decoded, with a twentieth of
	// BodyMemory left for small ones.
	bodyFactor                          = 4
	defaultMaxTokens  mangomodel.Tokens = 4096
	defaultTraceSpans                   = 4096
	defaultLogLevel                     = "info"
	minInterval                         = 10 * time.Millisecond
)

// Read reads settings from a file, applies the defaults and checks them.
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

// Parse decodes settings, applies the defaults and checks them.
func Parse(data []byte) (Settings, error) {
	s, err := mangoconfig.Decode[Settings](data)
	if err != nil {
		return s, err
	}
	s.setDefaults()
	return s, s.check()
}

func (s *Settings) setDefaults() {
	setDefault(&s.DrainTimeout, mangomodel.Duration(defaultDrainTimeout))
	setDefault(&s.MaxBody, defaultMaxBody)
	setDefault(&s.BodyMemory, defaultCallerMemory)
	setDefault(&s.MaxTokens, defaultMaxTokens)
	setDefault(&s.ProbeInterval, mangomodel.Duration(mangoagent.DefaultProbeInterval))
	setDefault(&s.LoadInterval, mangomodel.Duration(mangoagent.DefaultLoadInterval))
	setDefault(&s.RenewInterval, mangomodel.Duration(mangoagent.DefaultRenewInterval))
	setDefault(&s.FollowInterval, mangomodel.Duration(mangoagent.DefaultFollowInterval))
	setDefault(&s.HostListInterval, mangomodel.Duration(mangoagent.DefaultHostListInterval))
	setDefault(&s.TableWrites, mangocommand.DefaultTableWrites)
	setDefault(&s.TraceSpans, defaultTraceSpans)
	setDefault(&s.LogLevel, defaultLogLevel)
	setDefault(&s.RandomSeed, 1)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) check() error {
	if s.Daemon == "" || s.Region == "" || s.DataCentre == "" {
		return invalid("Daemon, Region and DataCentre are required")
	}
	addrs := append([]mangomodel.Address{s.Front, s.Admin, s.Peer, s.Platform}, s.Seeds...)
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(string(a)); err != nil {
			return invalid("Front, Admin, Peer, Platform and Seeds must be IP addresses with ports: %v", err)
		}
	}
	if hash, err := hex.DecodeString(s.OperatorKeyHash); err != nil || len(hash) != 32 {
		return invalid("OperatorKeyHash must be 64 hexadecimal digits")
	}
	for _, d := range []mangomodel.Duration{s.ProbeInterval, s.LoadInterval, s.RenewInterval, s.FollowInterval, s.HostListInterval} {
		if d.Std() < minInterval {
			return invalid("every interval must be at least %v", minInterval)
		}
	}
	if s.DrainTimeout <= 0 || s.MaxBody <= 0 || s.BodyMemory < bodyFactor*s.MaxBody || s.MaxTokens <= 0 || s.TraceSpans <= 0 || s.TableWrites <= 0 {
		return invalid("DrainTimeout, MaxBody, MaxTokens, TableWrites and TraceSpans must be positive, BodyMemory at least %d times MaxBody", bodyFactor)
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		return invalid("LogLevel: %v", err)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepParse, "settings", mangomodel.CodeInvalid, mangomodel.RunNot, format, args...)
}

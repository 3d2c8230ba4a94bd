package mangotraffic

import (
	"time"

	"mangolane/core/mangomodel"
)

// Stage is the type of work that a model engine does.
type Stage int

const (
	// StageNone is the stage of plain services.
	StageNone Stage = iota
	// StagePrefill engines compute the KV cache of prompts.
	StagePrefill
	// StageDecode engines generate tokens.
	StageDecode
)

// State is the state that a backend server announces.
type State int

const (
	// StateReady servers accept new work.
	StateReady State = iota
	// StateLeaving servers finish their current work only.
	StateLeaving
)

// Server is the server list's entry for a backend server.
type Server struct {
	ID         mangomodel.ServerID
	Service    ServiceName
	Address    mangomodel.Address
	DataCentre mangomodel.DataCentreID
	State      State
	Stage      Stage
	Slots      mangomodel.Slots
	// Build is the server's software. A stream cannot continue at another one.
	Build mangomodel.Build
	// Written is the position at which the entry was written; zero if that is not known.
	Written Cursor
	// Born is when the server process started. A server that restarts under the
	// same id has a later Born.
	Born time.Time
}

// ServerRef identifies an incarnation of a backend server.
type ServerRef struct {
	ID      mangomodel.ServerID
	Address mangomodel.Address
	Born    time.Time
}

// Ref returns the reference to the server's incarnation.
func (s *Server) Ref() ServerRef { return ServerRef{s.ID, s.Address, s.Born} }

// Same reports whether two references are to the same incarnation.
func (r ServerRef) Same(o ServerRef) bool {
	return r.ID == o.ID && r.Address == o.Address && r.Born.Equal(o.Born)
}

// After reports whether r started after another incarnation under its id. One that
// started at the same time at another address counts as later.
func (r ServerRef) After(o ServerRef) bool {
	return r.Born.After(o.Born) || r.Born.Equal(o.Born) && r.Address != o.Address
}

// SameIncarnation reports whether two entries describe the same incarnation of a
// server.
func (s *Server) SameIncarnation(o *Server) bool { return s.Ref().Same(o.Ref()) }

// ServerChange is one change to the server list.
type ServerChange struct {
	ID mangomodel.ServerID
	// Server is nil if the entry was removed or describes no usable server.
	Server *Server
	// Grace is how long a removed server is still used, since its entry may have
	// expired while the store was away.
	Grace time.Duration
}

package mangotraffic

import (
	"time"

	"mangolane/core/mangomodel"
)

// Stage is the work that a model engine does.
type Stage int

const (
	// StageNone is the stage of plain services.
	StageNone Stage = iota
	// StagePrefill computes the KV cache of prompts.
	StagePrefill
	// StageDecode generates tokens.
	StageDecode
)

// State is what a backend server announces of itself.
type State int

const (
	// StateReady takes new work.
	StateReady State = iota
	// StateLeaving finishes the work it has.
	StateLeaving
)

// Server is what the list of servers says of one backend server.
type Server struct {
	ID         mangomodel.ServerID
	Service    ServiceName
	Address    mangomodel.Address
	DataCentre mangomodel.DataCentreID
	State      State
	Stage      Stage
	Slots      mangomodel.Slots
	// Born is when the server process started. A server that starts again
	// under its old id has a later Born.
	Born time.Time
}

// SameIncarnation reports whether two entries describe one life of a server.
func (s *Server) SameIncarnation(o *Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.Born.Equal(o.Born)
}

// ServerChange is one change of the list of servers.
type ServerChange struct {
	ID mangomodel.ServerID
	// Server is nil when the entry is gone or names no usable server.
	Server *Server
}

// Cursor is a position in the history of the platform's records; zero is
// before all of it.
type Cursor uint64

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
	// Born is when the server process started. A server that restarts under the
	// same id has a later Born.
	Born time.Time
}

// SameIncarnation reports whether two entries describe the same incarnation of a
// server.
func (s *Server) SameIncarnation(o *Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.Born.Equal(o.Born)
}

// ServerChange is one change to the server list.
type ServerChange struct {
	ID mangomodel.ServerID
	// Server is nil if the entry was removed or describes no usable server.
	Server *Server
}

// Cursor is a position in the change history of the platform's records. Zero means
// that nothing has been read yet.
type Cursor uint64

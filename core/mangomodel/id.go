package mangomodel

import (
	"cmp"
	"fmt"
)

// Identifiers of configured entities. Operators choose them; they are compared
// byte by byte.
type (
	// RegionID names a region, a group of data centres.
	RegionID string
	// DataCentreID names a data centre.
	DataCentreID string
	// HostID names a host, whether it runs a daemon or a backend server.
	HostID string
	// ServerID names one backend server (a model engine or a plain service).
	ServerID string
	// ModelID names a model or a plain service that a pool of servers provides.
	ModelID string
	// WorkspaceID names a workspace.
	WorkspaceID string
	// TemplateID names a template.
	TemplateID string
	// CallName names an application call of a workspace.
	CallName string
	// Address is an IP address and port, such as "127.0.0.1:7000".
	Address string
	// DaemonID names one daemon. A restarted daemon keeps its DaemonID.
	DaemonID string
	// Build names a version of the software of a backend server, not of its model's
	// weights. It is empty if the server's entry states none.
	Build string
	// PeerName names the remote end of a failed step in a [Fault].
	PeerName string
)

// Identifiers generated at run time.
type (
	// Incarnation distinguishes the process lifetimes of one daemon. It
	// increases at each start.
	Incarnation uint64
	// RequestID is unique among all requests of all daemons.
	RequestID string
	// Attempt numbers the attempts of one request from 1.
	Attempt uint32
	// IdempotencyKey identifies an operation. It is the same in every retry of
	// the operation and differs between operations.
	IdempotencyKey string
	// Fingerprint is a hash of a request's workspace and content. A request
	// that the caller sends again has the same fingerprint.
	Fingerprint uint64
	// PrefixHash is a hash of a prompt from its start up to a block boundary.
	PrefixHash uint64
	// PartID identifies a part of a prompt by its content. Prompts share parts.
	PartID string
	// Revision numbers the accepted configuration changes from 1.
	Revision uint64
	// ChangeID identifies one proposed configuration change across retries of
	// the proposal.
	ChangeID string
)

// Holder is the incarnation of a daemon that holds grants.
type Holder struct {
	Daemon      DaemonID
	Incarnation Incarnation
}

// String returns the holder as "daemon/incarnation".
func (h Holder) String() string {
	return fmt.Sprintf("%s/%d", h.Daemon, h.Incarnation)
}

// GrantID is unique among all grants of all daemons. Number is assigned by the
// holder.
type GrantID struct {
	Holder Holder
	Number uint64
}

// String returns the id as "daemon/incarnation/number".
func (id GrantID) String() string { return fmt.Sprintf("%s/%d", id.Holder, id.Number) }

// Hash returns a hash whose low bits are evenly distributed over the grants of
// one holder.
func (id GrantID) Hash() uint64 { return id.Number }

// Compare orders ids by holder and number.
func (id GrantID) Compare(other GrantID) int {
	return cmp.Or(
		cmp.Compare(id.Holder.Daemon, other.Holder.Daemon),
		cmp.Compare(id.Holder.Incarnation, other.Holder.Incarnation),
		cmp.Compare(id.Number, other.Number),
	)
}

// Sequence identifies one attempt of one request on an engine.
type Sequence struct {
	Request RequestID
	Attempt Attempt
	// Holder is the daemon incarnation that runs the attempt.
	Holder Holder
}

// ShardID identifies one shard of a pool: a subset of the servers of one model
// in one data centre that one daemon at a time schedules.
type ShardID struct {
	DataCentre DataCentreID
	Model      ModelID
	Index      int
}

// String returns the shard as "datacentre/model/index".
func (s ShardID) String() string {
	return fmt.Sprintf("%s/%s/%d", s.DataCentre, s.Model, s.Index)
}

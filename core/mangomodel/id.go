package mangomodel

import (
	"cmp"
	"fmt"
)

// Identifiers of configured things. They are chosen by operators and compared
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
	// ModelID names a model or a plain service that a pool of servers offers.
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
	// PeerName names the other end of a failed step in a [Fault].
	PeerName string
)

// Identifiers made at run time.
type (
	// Incarnation tells apart the lives of one daemon. It grows at each start.
	Incarnation uint64
	// RequestID is unique among all requests of all daemons.
	RequestID string
	// Attempt numbers the attempts of one request from 1.
	Attempt uint32
	// IdempotencyKey is the identifier of an operation. It is the same in
	// every resend of the operation and differs between operations.
	IdempotencyKey string
	// Fingerprint is a hash of a request's workspace and content. Resends of
	// one request have the same fingerprint.
	Fingerprint uint64
	// PrefixHash is a hash of a prompt from its start up to a block boundary.
	PrefixHash uint64
	// Revision numbers the accepted changes of configuration from 1.
	Revision uint64
	// ChangeID identifies one proposed change of configuration, across
	// retries of the proposal.
	ChangeID string
)

// Holder is the daemon life that holds grants.
type Holder struct {
	Daemon      DaemonID
	Incarnation Incarnation
}

// String returns the holder as "daemon/incarnation".
func (h Holder) String() string {
	return fmt.Sprintf("%s/%d", h.Daemon, h.Incarnation)
}

// GrantID is unique among all grants of all daemons: the holder numbers its
// grants.
type GrantID struct {
	Holder Holder
	Number uint64
}

// String returns the id as "daemon/incarnation/number".
func (id GrantID) String() string { return fmt.Sprintf("%s/%d", id.Holder, id.Number) }

// Hash spreads ids evenly over small numbers.
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
	// Holder is the daemon life that runs the attempt.
	Holder Holder
}

// ShardID names one shard of a pool: a subset of the servers of one model in
// one data centre that is scheduled by one daemon at a time.
type ShardID struct {
	DataCentre DataCentreID
	Model      ModelID
	Index      int
}

// String returns the shard as "datacentre/model/index".
func (s ShardID) String() string {
	return fmt.Sprintf("%s/%s/%d", s.DataCentre, s.Model, s.Index)
}

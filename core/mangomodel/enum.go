package mangomodel

// Rank is the urgency of a request.
type Rank int

const (
	// RankUrgent is served first and has the stricter latency targets.
	RankUrgent Rank = iota
	// RankBasic is served after urgent work, except that a configured floor of
	// slots is kept for it.
	RankBasic
)

// Ranks is the number of ranks.
const Ranks = 2

// Role is the function of a backend server.
type Role int

const (
	// RolePrefill computes the KV cache of prompts.
	RolePrefill Role = iota
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode
	// RoleService serves application calls.
	RoleService
)

// ServerState is the announced state of a backend server.
type ServerState int

const (
	// ServerLive accepts new work.
	ServerLive ServerState = iota
	// ServerLeaving completes its current work and accepts no new work.
	ServerLeaving
)

// Step is a step of a request or of a control exchange. Faults and trace
// spans record it.
type Step int

const (
	// StepParse reads and validates the caller's input.
	StepParse Step = iota
	// StepAuthorise checks the caller's key.
	StepAuthorise
	// StepAdmission waits for a grant from the shard's scheduler.
	StepAdmission
	// StepPrefill computes a prompt's KV cache.
	StepPrefill
	// StepTransfer transfers a KV cache to the decode server.
	StepTransfer
	// StepDecode streams generated tokens.
	StepDecode
	// StepReserve writes the intent row of an entry.
	StepReserve
	// StepCall sends an application call to a plain service.
	StepCall
	// StepRecord writes the outcome row of an entry.
	StepRecord
	// StepRelease releases a grant.
	StepRelease
	// StepConfigure reads or writes configuration.
	StepConfigure
	// StepProbe checks whether a peer is alive.
	StepProbe
	// StepRespond writes the response to the caller.
	StepRespond
)

// Code classifies a fault for the caller.
type Code int

const (
	// CodeInvalid means that the input is not valid.
	CodeInvalid Code = iota
	// CodeUnauthorised means that the key does not match the workspace.
	CodeUnauthorised
	// CodeNotFound means that a named entity is not configured.
	CodeNotFound
	// CodeOverloaded means that the latency targets cannot currently be met.
	CodeOverloaded
	// CodeUnavailable means that a required peer cannot be reached.
	CodeUnavailable
	// CodeConflict means that another writer changed the row or document.
	CodeConflict
	// CodeInProgress means that the operation is already running.
	CodeInProgress
	// CodeQuarantined means that the request crashed backend servers.
	CodeQuarantined
	// CodeUnknownOutcome means that the work may or may not have run.
	CodeUnknownOutcome
	// CodeCancelled means that the caller cancelled the request or disconnected.
	CodeCancelled
	// CodePreempted means that a grant was preempted for urgent work.
	CodePreempted
	// CodeBackend means that the backend server reported a failure.
	CodeBackend
	// CodeTimeout means that the time limit of the work was exceeded.
	CodeTimeout
	// CodeTooLarge means that the input exceeds a limit.
	CodeTooLarge
	// CodeHeaderTooLarge means that a message's header exceeds a limit.
	CodeHeaderTooLarge
	// CodeQuotaExceeded means that the workspace has used up its quota.
	CodeQuotaExceeded
	// CodeCannotResume means that a stream cannot continue after the events that its
	// client has received: no server of their build serves, or their build is not known.
	CodeCannotResume
)

// Run indicates whether the work of a failed request may have run.
type Run int

const (
	// RunNot means that the work has not run and never will for this request.
	RunNot Run = iota
	// RunUnknown means that the work may have run, or may still run.
	RunUnknown
	// RunDone means that the work ran.
	RunDone
)

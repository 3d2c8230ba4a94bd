package mangomodel

// Rank is the urgency of a request.
type Rank int

const (
	// RankUrgent is served first and has the stricter latency targets.
	RankUrgent Rank = iota
	// RankBasic is served after urgent work, down to a configured floor.
	RankBasic
)

// Ranks is the number of ranks.
const Ranks = 2

// Role is the work that a backend server does.
type Role int

const (
	// RolePrefill computes the KV cache of prompts.
	RolePrefill Role = iota
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode
	// RoleService answers application calls.
	RoleService
)

// ServerState is what is announced of a backend server.
type ServerState int

const (
	// ServerLive takes new work.
	ServerLive ServerState = iota
	// ServerLeaving finishes the work it has and takes no new work.
	ServerLeaving
)

// Step is a step of a request or of a control exchange. Faults and trace
// spans carry it.
type Step int

const (
	// StepParse reads and checks the caller's input.
	StepParse Step = iota
	// StepAuthorise checks the caller's key.
	StepAuthorise
	// StepAdmission waits for a grant of the shard's scheduler.
	StepAdmission
	// StepPrefill computes a prompt's KV cache.
	StepPrefill
	// StepTransfer moves a KV cache to the decode server.
	StepTransfer
	// StepDecode streams generated tokens.
	StepDecode
	// StepReserve writes the intent row of an entry.
	StepReserve
	// StepCall sends an application call to a plain service.
	StepCall
	// StepRecord writes the outcome row of an entry.
	StepRecord
	// StepRelease gives a grant back.
	StepRelease
	// StepConfigure reads or writes configuration.
	StepConfigure
	// StepProbe checks that a peer is alive.
	StepProbe
	// StepRespond writes the answer to the caller.
	StepRespond
)

// Code classifies a fault for the caller.
type Code int

const (
	// CodeInvalid means that the input is wrong.
	CodeInvalid Code = iota
	// CodeUnauthorised means that the key does not match the workspace.
	CodeUnauthorised
	// CodeNotFound means that a named thing is not configured.
	CodeNotFound
	// CodeOverloaded means that the latency targets cannot be met now.
	CodeOverloaded
	// CodeUnavailable means that a needed peer cannot be reached.
	CodeUnavailable
	// CodeConflict means that another writer changed the row or document.
	CodeConflict
	// CodeInProgress means that the operation is running elsewhere.
	CodeInProgress
	// CodeQuarantined means that the request crashed backend servers.
	CodeQuarantined
	// CodeUnknownOutcome means that it cannot be told whether the work ran.
	CodeUnknownOutcome
	// CodeCancelled means that the caller went away.
	CodeCancelled
	// CodePreempted means that a grant was taken back for urgent work.
	CodePreempted
	// CodeBackend means that the backend server reported a failure.
	CodeBackend
	// CodeTimeout means that the time for the work has ended.
	CodeTimeout
	// CodeTooLarge means that the input exceeds a limit.
	CodeTooLarge
	// CodeHeaderTooLarge means that a message's header exceeds a limit.
	CodeHeaderTooLarge
)

// Run says whether the work of a failed request may have run.
type Run int

const (
	// RunNot means that the work has not run and never will for this request.
	RunNot Run = iota
	// RunUnknown means that the work may have run or may still run.
	RunUnknown
	// RunDone means that the work ran.
	RunDone
)

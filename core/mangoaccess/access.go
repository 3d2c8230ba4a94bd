// Package mangoaccess decides which workspace a call belongs to.
//
// The decision is made when a call arrives, when it leaves a queue and before it is sent,
// each time with the configuration then in force, so that a key that was added, removed
// or moved takes effect for calls that wait. It is designed for 260 workspaces with some
// keys each and some hundred calls a second at a daemon: it costs one look-up of a digest.
//
// A daemon whose configuration is not confirmed as current cannot tell an unknown key from
// a new one, and asks the client to return to another daemon. A known key is accepted for
// as long as that lasts.
//
// # Usage
//
//	d, err := mangoaccess.Decide(mangoaccess.Request{Routing: routing, Route: route, Key: key, HasKey: true, Age: age, MaxAge: bound})
//	call.Restricted, call.Workspace = d.Restricted, d.Workspace
package mangoaccess

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// Request is what a decision is based on.
type Request struct {
	Routing *mangotraffic.Routing
	// Route is the route of the call.
	Route *mangotraffic.Route
	// Key is the digest of the key that the client sent, if HasKey is set.
	Key    mangoworkspace.Digest
	HasKey bool
	// Age is the time since the configuration was known to be current. Beyond MaxAge an
	// unknown key may be a new one.
	Age, MaxAge time.Duration
}

// Decision is the outcome for a call that is not refused.
type Decision struct {
	// Restricted is set if the configuration has workspaces.
	Restricted bool
	// Workspace is the one that the key belongs to. It is empty without workspaces, and on
	// a public route for a call without a known key.
	Workspace mangomodel.WorkspaceID
}

// Decide returns the workspace of a call, or a fault with RunNot: CodeUnauthorised for an
// unknown or missing key, and CodeUnavailable if a key is unknown to a configuration that
// is not confirmed as current.
func Decide(r Request) (Decision, error) {
	directory := r.Routing.Workspaces
	if directory == nil {
		return Decision{}, nil
	}
	d := Decision{Restricted: true}
	if r.HasKey {
		if w, ok := directory.ByKey(r.Key); ok {
			d.Workspace = w.ID
			return d, nil
		}
	}
	switch {
	case r.Route.Public:
		return d, nil
	case !r.HasKey:
		return Decision{}, refused(mangomodel.CodeUnauthorised, "no key, want the key of a workspace (revision %d, route %s)",
			r.Routing.Revision, r.Route.Name)
	case r.Age > r.MaxAge:
		return Decision{}, refused(mangomodel.CodeUnavailable, "unknown key, and revision %d was last confirmed %v ago, want at most %v",
			r.Routing.Revision, r.Age.Round(time.Millisecond), r.MaxAge)
	default:
		return Decision{}, refused(mangomodel.CodeUnauthorised, "unknown key, want the key of a workspace (revision %d, confirmed %v ago, route %s)",
			r.Routing.Revision, r.Age.Round(time.Millisecond), r.Route.Name)
	}
}

func refused(code mangomodel.Code, format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepAuthorise, "", code, mangomodel.RunNot, format, args...)
}

// Package mangoworkspace defines the workspaces of a configuration: which keys identify
// them, in which order their calls are served, and how much they may send.
//
// A key is kept as its digest only, so that no copy of it can reach a log, a metric or
// another daemon. A [Directory] answers which workspace a digest belongs to; it is
// immutable, and a configuration without workspaces has none.
//
// # Usage
//
//	dir, problems := mangoworkspace.NewDirectory(workspaces)
//	w, ok := dir.ByKey(mangoworkspace.DigestOf(key))
package mangoworkspace

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"

	"mangolane/core/mangomodel"
)

// Digest identifies a key without revealing it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Matches reports whether two digests are equal, in a time that does not depend on them.
func (d Digest) Matches(other Digest) bool { return subtle.ConstantTimeCompare(d[:], other[:]) == 1 }

// prefixBytes is how much of a digest its text shows: enough to tell the keys of a
// configuration apart, too little to test guesses against.
const prefixBytes = 4

// String returns the first digits of the digest.
func (d Digest) String() string { return fmt.Sprintf("%x", d[:prefixBytes]) }

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Unit -trimprefix=Unit -text -output=unit_string.go

// Unit is what a limit counts.
type Unit int

const (
	// UnitRequests counts each call as one.
	UnitRequests Unit = iota
	// UnitTokens counts the tokens of a call's prompt and of its longest output.
	UnitTokens
)

// Amount is a quantity in the unit of a limit.
type Amount float64

// Limit bounds what a workspace may send over all daemons together. The zero Limit
// bounds nothing.
type Limit struct {
	Unit Unit
	// Rate is how much may be sent per second; zero means no limit.
	Rate Amount
	// Burst is how much may be sent at once after a time without calls.
	Burst Amount
	// PlainTokens is the cost of a call that does not state its tokens.
	PlainTokens mangomodel.Tokens
}

// Bounded reports whether the limit bounds anything.
func (l Limit) Bounded() bool { return l.Rate > 0 }

// Workspace is a customer's use of the system.
type Workspace struct {
	ID   mangomodel.WorkspaceID
	Keys []Digest
	// Priority goes before the priority of a route if HasPriority is set; 0 is the
	// highest.
	Priority    int
	HasPriority bool
	Limit       Limit
}

// Problem is an entry of a configuration that is not used.
type Problem struct {
	Workspace mangomodel.WorkspaceID
	// Field is the name of the entry in the configuration, Value its value unless that
	// is secret, and Want what was expected.
	Field, Value, Want string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("workspace %q: %s is %s, want %s", p.Workspace, p.Field, p.Value, p.Want)
}

// Directory finds workspaces by their keys and ids.
type Directory struct {
	workspaces []Workspace
	byID       map[mangomodel.WorkspaceID]*Workspace
	byKey      map[Digest]*Workspace
}

// NewDirectory returns a directory of workspaces. A key that two workspaces have
// identifies neither of them, and of two workspaces with one id only the first is used;
// both are returned as problems.
func NewDirectory(workspaces []Workspace) (*Directory, []Problem) {
	d := &Directory{
		byID:  make(map[mangomodel.WorkspaceID]*Workspace, len(workspaces)),
		byKey: make(map[Digest]*Workspace),
	}
	var problems []Problem
	ambiguous := make(map[Digest]bool)
	for _, w := range workspaces {
		if _, ok := d.byID[w.ID]; ok {
			problems = append(problems, Problem{w.ID, "name", fmt.Sprintf("%q again", w.ID), "a name of its own"})
			continue
		}
		w.Keys = slices.Clone(w.Keys)
		d.byID[w.ID] = &w
		d.workspaces = append(d.workspaces, w)
		for _, key := range w.Keys {
			other, ok := d.byKey[key]
			if ok && other.ID != w.ID {
				ambiguous[key] = true
				problems = append(problems, Problem{w.ID, "key", fmt.Sprintf("also a key of workspace %q", other.ID), "a key of one workspace"})
				continue
			}
			d.byKey[key] = &w
		}
	}
	for key := range ambiguous {
		delete(d.byKey, key)
	}
	return d, problems
}

// ByKey returns the workspace that a key belongs to.
func (d *Directory) ByKey(key Digest) (*Workspace, bool) {
	w, ok := d.byKey[key]
	if !ok || !slices.ContainsFunc(w.Keys, key.Matches) {
		return nil, false
	}
	return w, true
}

// ByID returns a workspace.
func (d *Directory) ByID(id mangomodel.WorkspaceID) (*Workspace, bool) {
	w, ok := d.byID[id]
	return w, ok
}

// All returns the workspaces in the order of the configuration. It must not be changed.
func (d *Directory) All() []Workspace { return d.workspaces }

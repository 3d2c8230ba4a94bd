package mangofleet

import (
	"slices"
	"time"

	"mangolane/core/mangocrash"
	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
)

// archive is the part of the control state that concerns the saved records of calls that
// crash servers.
type archive struct {
	// enabled is set if the records are saved, and current if the store could be read and
	// written last.
	enabled, current bool
	// waiters are the replies to those that wait until a record is saved.
	waiters []archiveWaiter
	// listener is the reply to the one that waits for a change, and after the change that
	// it knows. restored is set until a listener has heard that the store came back from
	// an older copy.
	listener *mangoloop.Reply
	after    mangocrash.Change
	restored bool
}

type archiveWaiter struct {
	call  mangomodel.Fingerprint
	reply mangoloop.Reply
}

// WithSavedCrashes makes the fleet publish the records of calls that crash servers for
// [RestoreCrashes] and [CrashesSaved]. No refused call is probed while these fail.
func WithSavedCrashes() Option {
	return func(s *state) {
		s.suspects = mangocrash.New(mangocrash.WithSaving())
		s.archive.enabled = true
	}
}

// RestoreCrashes merges records that were read from the store.
type RestoreCrashes struct{ Records []mangocrash.Record }

// Apply implements [Command].
func (c RestoreCrashes) Apply(s *state, now time.Time) error {
	s.suspects.Restore(c.Records, now)
	s.changed.crashes, s.archive.current = true, true
	return nil
}

// ResaveCrashes makes records due that were saved before, since the store may have returned
// from an older copy.
type ResaveCrashes struct {
	// Own is set if only the records are meant that this daemon has changed.
	Own bool
}

// Apply implements [Command].
func (c ResaveCrashes) Apply(s *state, now time.Time) error {
	if c.Own {
		s.suspects.ResaveOwn(now)
	} else {
		s.suspects.Resave(now)
	}
	return nil
}

// storeRestored records that the store came back from an older copy. The view's list is of
// its new era then.
func (s *state) storeRestored(time.Time) { s.archive.restored = true }

// CrashesSaved records that the store holds records as the view listed them.
type CrashesSaved struct {
	Saved []mangocrash.Unsaved
	// Written is set if the store was written for that.
	Written bool
}

// Apply implements [Command].
func (c CrashesSaved) Apply(s *state, _ time.Time) error {
	s.suspects.Saved(c.Saved)
	s.archive.current = s.archive.current || c.Written
	s.archive.waiters = slices.DeleteFunc(s.archive.waiters, func(w archiveWaiter) bool {
		if s.suspects.IsUnsaved(w.call) {
			return false
		}
		w.reply.Send(nil)
		return true
	})
	return nil
}

// CrashesNotSaved records that the store could not be read or written.
type CrashesNotSaved struct{}

// Apply implements [Command].
func (CrashesNotSaved) Apply(s *state, _ time.Time) error {
	s.archive.current = false
	for _, w := range s.archive.waiters {
		w.reply.Send(ProbeNotSaved())
	}
	s.archive.waiters = nil
	return nil
}

// AwaitCrashesSaved waits until the record of a call is saved. If that fails, the error is
// [ProbeNotSaved].
type AwaitCrashesSaved struct{ Call mangomodel.Fingerprint }

// Await keeps the reply until the record is saved.
func (c AwaitCrashesSaved) Await(s *state, r mangoloop.Reply) {
	if !s.suspects.IsUnsaved(c.Call) {
		r.Send(nil)
		return
	}
	s.archive.waiters = append(s.archive.waiters, archiveWaiter{c.Call, r})
}

// Apply implements [Command].
func (AwaitCrashesSaved) Apply(*state, time.Time) error { return nil }

// AwaitCrashesUnsaved waits until the view lists a change after one, or the list is of a
// later era of the store. A further such command replaces it.
type AwaitCrashesUnsaved struct{ After mangocrash.Change }

// Await keeps the reply until there is such a change.
func (c AwaitCrashesUnsaved) Await(s *state, r mangoloop.Reply) {
	s.archive.listener, s.archive.after = &r, c.After
}

// Apply implements [Command].
func (AwaitCrashesUnsaved) Apply(*state, time.Time) error { return nil }

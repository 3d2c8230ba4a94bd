package mangofleet

import (
	"slices"

	"mangolane/core/mangocrash"
)

// UnsavedCrashes returns the records to be saved, those that are due first.
func (v *View) UnsavedCrashes() []mangocrash.Unsaved { return v.unsavedCrashes }

// OwnsCrashes reports whether this daemon has changed a record itself.
func (v *View) OwnsCrashes() bool { return v.ownsCrashes }

// KnowsCrashes reports whether this daemon has a record.
func (v *View) KnowsCrashes() bool { return v.knowsCrashes }

// publishUnsaved publishes the records to be saved. The reply to the listener is delivered
// after the view.
func (s *state) publishUnsaved(v *View) {
	v.unsavedCrashes = s.suspects.Unsaved()
	v.probesUnsaved = s.archive.enabled && !s.archive.current
	v.ownsCrashes, v.knowsCrashes = s.suspects.Own(), s.suspects.Len() > 0
	isNew := func(u mangocrash.Unsaved) bool { return u.Change > s.archive.after }
	if s.archive.listener != nil && (s.archive.restored || slices.ContainsFunc(v.unsavedCrashes, isNew)) {
		s.archive.listener.Send(nil)
		s.archive.listener, s.archive.restored = nil, false
	}
}

// MaintainsArchive reports whether this daemon removes the saved records that nobody needs
// any more.
func (v *View) MaintainsArchive() bool { return v.defaultScheduler.Holder.Daemon == v.self }

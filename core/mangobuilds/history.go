// Package mangobuilds keeps which builds of a service's servers were present, and when. If
// one build alone was present for longer than a stream lasts, it began every stream that a
// client may still resume, and nothing has to be recorded of single streams.
//
// A History is conservative: a build counts as present for longer rather than shorter, and
// what is not known to be complete names no sole build. The package has no clock; times are
// passed in.
//
// # Usage
//
//	h := mangobuilds.New(began)
//	h.Restore(saved, now) // what other daemons have seen before
//	h.List(listed, now)
//	build, ok := h.Sole(window, now)
package mangobuilds

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

// Span is the presence of a build.
type Span struct {
	Build mangomodel.Build
	// Until is when the last server of the build was last seen; zero while one is listed.
	Until time.Time
}

// within reports whether the build was present in the time before now.
func (s Span) within(window time.Duration, now time.Time) bool {
	return s.Until.IsZero() || now.Sub(s.Until) <= window
}

// History is the presence of the builds of one service.
type History struct {
	// since is when the history begins; zero if no earlier build is missing.
	since time.Time
	spans []Span
	// revision counts the changes by List and Serve.
	revision int
}

// New returns a History that begins at a time. The zero time means that no build was
// present before.
func New(since time.Time) *History { return &History{since: since} }

// span returns the span of a build, which it adds if there is none.
func (h *History) span(build mangomodel.Build) *Span {
	i := slices.IndexFunc(h.spans, func(s Span) bool { return s.Build == build })
	if i < 0 {
		i = len(h.spans)
		h.spans = append(h.spans, Span{Build: build})
	}
	return &h.spans[i]
}

// Revision changes when List records a change, or Serve a new build.
func (h *History) Revision() int { return h.revision }

// List records the builds that are listed now.
func (h *History) List(builds []mangomodel.Build, now time.Time) {
	changed := false
	for i := range h.spans {
		if s := &h.spans[i]; s.Until.IsZero() && !slices.Contains(builds, s.Build) {
			s.Until, changed = now, true
		}
	}
	for _, build := range builds {
		known := len(h.spans)
		s := h.span(build)
		changed = changed || len(h.spans) > known || !s.Until.IsZero()
		s.Until = time.Time{}
	}
	if changed {
		h.revision++
	}
}

// Serve records that a build has served now, though it may not be listed.
func (h *History) Serve(build mangomodel.Build, now time.Time) {
	known := len(h.spans)
	s := h.span(build)
	if len(h.spans) > known || !s.Until.IsZero() && now.After(s.Until) {
		s.Until = now
	}
	if len(h.spans) > known {
		h.revision++
	}
}

// Restore adds what another daemon has recorded since the service has existed, so that the
// history is complete. A build that is present there and not listed here counts as having
// ended now.
func (h *History) Restore(spans []Span, now time.Time) {
	h.since = time.Time{}
	for _, saved := range spans {
		until := saved.Until
		if until.IsZero() || until.After(now) {
			until = now
		}
		known := len(h.spans)
		s := h.span(saved.Build)
		if len(h.spans) > known || !s.Until.IsZero() && until.After(s.Until) {
			s.Until = until
		}
	}
}

// Forget removes the builds that ended before the time before now.
func (h *History) Forget(window time.Duration, now time.Time) {
	h.spans = slices.DeleteFunc(h.spans, func(s Span) bool { return !s.within(window, now) })
}

// Spans returns the builds that were present in the time before now, ordered by name.
func (h *History) Spans(window time.Duration, now time.Time) []Span {
	var list []Span
	for _, s := range h.spans {
		if s.within(window, now) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Span) int { return cmp.Compare(a.Build, b.Build) })
	return list
}

// Complete reports whether no build that was present in the time before now is missing.
func (h *History) Complete(window time.Duration, now time.Time) bool {
	return h.since.IsZero() || now.Sub(h.since) > window
}

// Sole returns the only build that was present in the time before now, if there is one.
func (h *History) Sole(window time.Duration, now time.Time) (mangomodel.Build, bool) {
	spans := h.Spans(window, now)
	if len(spans) != 1 || !h.Complete(window, now) {
		return "", false
	}
	return spans[0].Build, true
}

// Mixed reports whether several builds were present in the time before now, or may have
// been.
func (h *History) Mixed(window time.Duration, now time.Time) bool {
	return len(h.Spans(window, now)) > 1 || !h.Complete(window, now)
}

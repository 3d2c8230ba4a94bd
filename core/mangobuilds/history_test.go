package mangobuilds

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

const window = 90 * time.Second

// at returns a time of a test.
func at(seconds int) time.Time { return time.Unix(1000, 0).Add(time.Duration(seconds) * time.Second) }

// since is when the history of a test begins; zero if it is complete.
func history(since time.Time, steps ...func(h *History)) *History {
	h := New(since)
	for _, step := range steps {
		step(h)
	}
	return h
}

func list(second int, builds ...mangomodel.Build) func(*History) {
	return func(h *History) { h.List(builds, at(second)) }
}

func restore(second int, spans ...Span) func(*History) {
	return func(h *History) { h.Restore(spans, at(second)) }
}

func serve(second int, build mangomodel.Build) func(*History) {
	return func(h *History) { h.Serve(build, at(second)) }
}

// TestSoleBuild guards against a build that is taken for the only one that began streams,
// and against one that is not found for longer than needed.
func TestSoleBuild(t *testing.T) {
	complete := time.Time{}
	for _, test := range []struct {
		name  string
		h     *History
		now   int
		sole  mangomodel.Build
		mixed bool
	}{
		{"nothing is known", history(complete), 10, "", false},
		{"one build", history(complete, list(0, "a")), 1, "a", false},
		{"a build without a name", history(complete, list(0, "")), 1, "", false},
		{"two builds", history(complete, list(0, "a", "b")), 1000, "", true},
		{"the history is too short", history(at(0), list(0, "a")), 90, "", true},
		{"the history is long enough", history(at(0), list(0, "a")), 91, "a", false},
		{"another build was there within the time", history(complete, list(0, "a", "b"), list(10, "a")), 100, "", true},
		{"another build was there before", history(complete, list(0, "a", "b"), list(10, "a")), 101, "a", false},
		{"the last server has left", history(complete, list(0, "a"), list(10)), 50, "a", false},
		{"all have left for long", history(complete, list(0, "a"), list(10)), 101, "", false},
		{"a build was replaced", history(complete, list(0, "a"), list(10, "b")), 100, "", true},
		{"a build is back", history(complete, list(0, "a"), list(10, "b"), list(20, "a")), 100, "", true},
		{"a build is back and alone", history(complete, list(0, "a"), list(10, "b"), list(20, "a")), 111, "a", false},
		{"the row names the same", history(at(0), list(0, "a"), restore(1, Span{Build: "a"})), 2, "a", false},
		{"the row names another", history(at(0), list(0, "a"), restore(1, Span{Build: "b"})), 91, "", true},
		{"the row names another that ended", history(at(0), list(0, "a"), restore(1, Span{"b", at(-80)})), 10, "", true},
		{"the row names another that ended long ago", history(at(0), list(0, "a"), restore(1, Span{"b", at(-80)})), 11, "a", false},
		{"the row has a later end", history(complete, list(0, "b"), list(5, "a"), restore(50, Span{"b", at(40)})), 130, "", true},
		{"the row has an earlier end", history(complete, list(0, "b"), list(30, "a"), restore(50, Span{"b", at(10)})), 120, "", true},
		{"the row has an end in the future", history(complete, list(0, "a"), restore(10, Span{"b", at(5000)})), 101, "a", false},
		{"an empty row", history(at(0), list(0, "a"), restore(1)), 2, "a", false},
		{"a build serves that is not listed", history(complete, list(0, "a"), serve(5, "b")), 95, "", true},
		{"a build that is not listed served long ago", history(complete, list(0, "a"), serve(5, "b")), 96, "a", false},
		{"a listed build serves", history(complete, list(0, "a"), serve(5, "a")), 1000, "a", false},
		{"a build serves once more after its end", history(complete, list(0, "a", "b"), list(1, "a"), serve(30, "b")), 120, "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			build, ok := test.h.Sole(window, at(test.now))
			g.Expect(build).To(gomega.Equal(test.sole))
			g.Expect(ok).To(gomega.Equal(test.sole != "" || test.name == "a build without a name"))
			g.Expect(test.h.Mixed(window, at(test.now))).To(gomega.Equal(test.mixed))
		})
	}
}

// TestChangesAreReported guards against a history that is not saved when it changes, and
// against one that is saved all the time.
func TestChangesAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	h := New(time.Time{})
	g.Expect(h.List([]mangomodel.Build{"a"}, at(0))).To(gomega.BeTrue(), "a is new")
	g.Expect(h.List([]mangomodel.Build{"a"}, at(1))).To(gomega.BeFalse())
	g.Expect(h.List([]mangomodel.Build{"b", "a"}, at(2))).To(gomega.BeTrue(), "b is new")
	g.Expect(h.List([]mangomodel.Build{"a", "b"}, at(3))).To(gomega.BeFalse())
	g.Expect(h.List([]mangomodel.Build{"a"}, at(4))).To(gomega.BeTrue(), "b has ended")
	g.Expect(h.List([]mangomodel.Build{"a"}, at(5))).To(gomega.BeFalse())
	g.Expect(h.List([]mangomodel.Build{"a", "b"}, at(6))).To(gomega.BeTrue(), "b is back")
	g.Expect(h.Serve("a", at(7))).To(gomega.BeFalse())
	g.Expect(h.Serve("c", at(8))).To(gomega.BeTrue(), "c is new")
	g.Expect(h.Serve("c", at(9))).To(gomega.BeFalse())
}

// TestSpansEnd guards against builds that are kept for ever, and against the loss of those
// that still matter.
func TestSpansEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	h := history(time.Time{}, list(0, "a", "b", "c"), list(10, "a", "c"), list(50, "c"))
	g.Expect(h.Spans(window, at(100))).To(gomega.Equal([]Span{{"a", at(50)}, {"b", at(10)}, {Build: "c"}}))
	h.Forget(window, at(101))
	g.Expect(h.Spans(time.Hour, at(101))).To(gomega.Equal([]Span{{"a", at(50)}, {Build: "c"}}))
}

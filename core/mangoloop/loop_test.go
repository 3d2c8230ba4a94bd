package mangoloop

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// counter is a state whose timer and view panic on demand.
type counter struct {
	n                    int
	panicTick, panicView bool
}

type counterView struct{ n int }

func (s *counter) Tick(time.Time) {
	if s.panicTick {
		s.panicTick = false
		panic("tick")
	}
}

func (s *counter) NextDue() (time.Time, bool) { return time.Time{}, s.panicTick }

func (s *counter) View(*counterView, time.Time) *counterView {
	if s.panicView {
		s.panicView = false
		panic("view")
	}
	return &counterView{s.n}
}

type command func(s *counter) error

func (f command) Apply(s *counter, _ time.Time) error { return f(s) }

type recorder struct{ places chan string }

func (r recorder) Panicked(where string, _ any, _ []byte) { r.places <- where }

// TestPanicEndsOneCommand guards against a panic that ends the process: it fails the
// command in which it happens, or skips a timer or a view, and is reported.
func TestPanicEndsOneCommand(t *testing.T) {
	g := gomega.NewWithT(t)
	r := recorder{make(chan string, 8)}
	l := New[*counter, counterView](&counter{})
	l.ObservePanics(r)
	go l.Run(t.Context())
	g.Expect(l.Do(t.Context(), command(func(*counter) error { panic("oops") }))).To(gomega.MatchError(gomega.ContainSubstring("oops")))
	g.Expect(<-r.places).To(gomega.HavePrefix("command"))
	g.Expect(l.Do(t.Context(), command(func(s *counter) error {
		s.panicTick, s.panicView = true, true
		return nil
	}))).To(gomega.Succeed())
	g.Expect(<-r.places).To(gomega.Equal("view"))
	g.Expect(<-r.places).To(gomega.Equal("timer"))
	g.Expect(l.Do(t.Context(), command(func(s *counter) error {
		s.n++
		return nil
	}))).To(gomega.Succeed())
	g.Expect(l.View().n).To(gomega.Equal(1))
}

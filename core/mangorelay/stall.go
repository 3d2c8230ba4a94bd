package mangorelay

import (
	"context"
	"sync"
	"time"

	"mangolane/core/mangotraffic"
)

const (
	// aliveTimeout bounds the question whether an engine is alive.
	aliveTimeout = 300 * time.Millisecond
	// patientStalls is how many silences in a row an engine that is alive may
	// keep: it preempts and reads prompts again. After that its connection must
	// have been lost on the way.
	patientStalls = 2
)

// silenceTimer watches an engine while an event is awaited.
type silenceTimer interface {
	Stop() bool
	Reset(d time.Duration) bool
}

// nobody watches nothing.
type nobody struct{}

func (nobody) Stop() bool               { return true }
func (nobody) Reset(time.Duration) bool { return true }

// stallWatch ends an exchange with an engine that has gone silent, if the
// stream can go on at another one. Silence alone ends no stream: an engine that
// answers other questions is only slow.
type stallWatch struct {
	job    *job
	server mangotraffic.Server
	cancel func()

	mu     sync.Mutex
	timer  *time.Timer
	length time.Duration
	// round tells a question of an earlier silence from one of this.
	round, stalls int
}

// Stop ends the silence.
func (s *stallWatch) Stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round++
	s.stalls = 0
	return s.timer.Stop()
}

// Reset begins a silence that may last for d.
func (s *stallWatch) Reset(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round++
	s.length = d
	round := s.round
	s.timer = time.AfterFunc(d, func() { s.silent(round) })
	return true
}

// silent decides about a silence that has lasted too long.
func (s *stallWatch) silent(round int) {
	if !s.job.picked.Repeatable() {
		return
	}
	alive := s.alive()
	s.mu.Lock()
	defer s.mu.Unlock()
	if round != s.round {
		return
	}
	s.stalls++
	if !alive || s.stalls > patientStalls {
		s.cancel()
		return
	}
	s.timer = time.AfterFunc(s.length, func() { s.silent(round) })
}

func (s *stallWatch) alive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	_, err := s.job.relay.servers.Report(ctx, s.server)
	return err == nil
}

package mangostore

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"time"

	"mangolane/core/mangoloop"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

// Faults selects the failures that a store emulates.
type Faults struct {
	// Outage makes every exchange fail before it takes effect.
	Outage bool
	// LoseAnswers makes writes of rows take effect and then fail, as if their
	// responses were lost.
	LoseAnswers bool
	// Delay is added to every exchange.
	Delay mangomodel.Duration
}

// View is an immutable snapshot of a store.
type View struct {
	rows    map[mangomodel.TableKey]mangomodel.Row
	objects map[string][]byte
	hosts   []mangowire.HostEntry
	faults  Faults
	// Writes and Reads count the writes and reads of rows that took effect.
	Writes, Reads int
}

// Store is the emulated platform.
type Store struct {
	loop    *mangoloop.Loop[*state, View]
	latency time.Duration
}

// Option configures a Store.
type Option func(*Store)

// WithLatency sets the duration of each exchange; the default is zero.
func WithLatency(d time.Duration) Option { return func(s *Store) { s.latency = d } }

// New returns a store. It processes requests only while Run runs.
func New(opts ...Option) *Store {
	s := &Store{loop: mangoloop.New[*state, View](newState())}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run processes requests until ctx ends.
func (s *Store) Run(ctx context.Context) { s.loop.Run(ctx) }

// View returns the newest snapshot of the store.
func (s *Store) View() *View { return s.loop.View() }

// Get reads a row; an absent row has version 0.
func (s *Store) Get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error) {
	if err := s.exchange(ctx, mangomodel.RunNot); err != nil {
		return mangomodel.Row{}, err
	}
	return s.View().rows[key], s.loop.Do(ctx, countReadCommand{})
}

// Put writes a row if its version is the expected one and returns the new
// version. Otherwise it fails with CodeConflict.
func (s *Store) Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	if err := s.exchange(ctx, mangomodel.RunNot); err != nil {
		return 0, err
	}
	if err := s.loop.Do(ctx, putRowCommand{key: key, value: bytes.Clone(value), expect: expect}); err != nil {
		return 0, err
	}
	if s.View().faults.LoseAnswers {
		return 0, unavailableFault(mangomodel.RunUnknown, "the response to the write was lost")
	}
	return expect + 1, nil
}

// GetObject reads an object. It fails with CodeNotFound if there is none.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := s.exchange(ctx, mangomodel.RunNot); err != nil {
		return nil, err
	}
	data, ok := s.View().objects[name]
	if !ok {
		return nil, mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(name),
			mangomodel.CodeNotFound, mangomodel.RunNot, "no such object")
	}
	return data, nil
}

// PutObject writes an object.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	if err := s.exchange(ctx, mangomodel.RunNot); err != nil {
		return err
	}
	return s.loop.Do(ctx, putObjectCommand{name: name, data: bytes.Clone(data)})
}

// Hosts returns the list of hosts.
func (s *Store) Hosts(ctx context.Context) ([]mangowire.HostEntry, error) {
	if err := s.exchange(ctx, mangomodel.RunNot); err != nil {
		return nil, err
	}
	return s.View().hosts, nil
}

// SetHosts replaces the list of hosts.
func (s *Store) SetHosts(ctx context.Context, hosts []mangowire.HostEntry) error {
	return s.loop.Do(ctx, setHostsCommand{hosts: slices.Clone(hosts)})
}

// Inject replaces the store's active faults.
func (s *Store) Inject(ctx context.Context, f Faults) error {
	return s.loop.Do(ctx, injectCommand{faults: f})
}

// exchange waits for the duration of an exchange and then returns the fault
// that prevents its effect, if one is active.
func (s *Store) exchange(ctx context.Context, run mangomodel.Run) error {
	timer := time.NewTimer(s.latency + s.View().faults.Delay.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return mangomodel.NewFault(mangomodel.StepReserve, "table", mangomodel.CodeUnavailable, mangomodel.RunUnknown, context.Cause(ctx))
	}
	if s.View().faults.Outage {
		return unavailableFault(run, "the platform is unavailable")
	}
	return nil
}

func unavailableFault(run mangomodel.Run, text string) error {
	return mangomodel.Faultf(mangomodel.StepReserve, "table", mangomodel.CodeUnavailable, run, "%s", text)
}

// state is the platform's state. Only the loop's goroutine accesses it.
type state struct {
	rows    map[mangomodel.TableKey]mangomodel.Row
	objects map[string][]byte
	hosts   []mangowire.HostEntry
	faults  Faults
	writes  int
	reads   int
	// dirty is set when rows or objects have changed since the last view.
	dirty bool
}

func newState() *state {
	return &state{
		rows: make(map[mangomodel.TableKey]mangomodel.Row), objects: make(map[string][]byte), dirty: true,
	}
}

// Tick does nothing: a store has no timed work.
func (s *state) Tick(time.Time) {}

// NextDue reports that no work is due.
func (s *state) NextDue() (time.Time, bool) { return time.Time{}, false }

// View returns a snapshot of the state. It copies rows and objects only if they
// have changed.
func (s *state) View(last *View, _ time.Time) *View {
	v := &View{}
	if last != nil {
		*v = *last
	}
	if s.dirty {
		v.rows, v.objects = maps.Clone(s.rows), maps.Clone(s.objects)
	}
	v.hosts, v.faults, v.Writes, v.Reads = s.hosts, s.faults, s.writes, s.reads
	s.dirty = false
	return v
}

type putRowCommand struct {
	key    mangomodel.TableKey
	value  []byte
	expect mangomodel.RowVersion
}

// Apply implements [mangoloop.Command].
func (c putRowCommand) Apply(s *state, _ time.Time) error {
	if have := s.rows[c.key].Version; have != c.expect {
		return mangomodel.Faultf(mangomodel.StepReserve, mangomodel.PeerName(c.key),
			mangomodel.CodeConflict, mangomodel.RunNot, "the row has version %d, expected %d", have, c.expect)
	}
	s.rows[c.key] = mangomodel.Row{Value: c.value, Version: c.expect + 1}
	s.writes++
	s.dirty = true
	return nil
}

type putObjectCommand struct {
	name string
	data []byte
}

// Apply implements [mangoloop.Command].
func (c putObjectCommand) Apply(s *state, _ time.Time) error {
	s.objects[c.name] = c.data
	s.dirty = true
	return nil
}

type setHostsCommand struct{ hosts []mangowire.HostEntry }

// Apply implements [mangoloop.Command].
func (c setHostsCommand) Apply(s *state, _ time.Time) error {
	s.hosts = c.hosts
	return nil
}

type injectCommand struct{ faults Faults }

// Apply implements [mangoloop.Command].
func (c injectCommand) Apply(s *state, _ time.Time) error {
	s.faults = c.faults
	return nil
}

type countReadCommand struct{}

// Apply implements [mangoloop.Command].
func (countReadCommand) Apply(s *state, _ time.Time) error {
	s.reads++
	return nil
}

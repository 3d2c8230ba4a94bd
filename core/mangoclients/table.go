// Package mangoclients decides which connections of clients stay open and how much memory
// their requests' heads may take, so that clients that nobody controls exhaust neither the
// descriptors nor the memory of a daemon.
//
// It is designed for thousands of connections from one address that send nothing, send
// slowly or do not read, beside a few hundred ordinary ones, which may come from the same
// address, that of a load balancer. There is no fixed number for an address: the address
// with the most connections loses one first, and a small part of the connections is kept
// for the other addresses.
//
// # Usage
//
//	t := mangoclients.New(mangoclients.Limits{Connections: 2000, HeadMemory: 12 << 20})
//	id, victim, ok := t.Open("10.0.0.7", now) // then close the victim, if any
//	t.Enter(id, mangoclients.PhaseBody, now)
//	t.Close(id)
package mangoclients

import (
	"container/list"
	"sync"
	"time"

	"mangolane/core/mangomodel"
)

// ID identifies an open connection.
type ID uint64

// Host is the address of a client without its port.
type Host string

// Phase is what a connection waits for.
type Phase int

const (
	// PhaseHead means that the head of a request is awaited or read.
	PhaseHead Phase = iota
	// PhaseBody means that the body of a request is read.
	PhaseBody
	// PhaseServing means that a request was read whole.
	PhaseServing
	phases
)

// Limits bound the connections.
type Limits struct {
	// Connections is how many may be open; zero means no limit.
	Connections int
	// HeadMemory is the memory of all heads together, in bytes; zero means no limit.
	HeadMemory mangomodel.Bytes
}

const (
	// hostShare is the share of the connections that one address may have. The rest is for
	// others. Behind a load balancer all clients may have one address, so that it cannot be
	// much smaller.
	hostShare = 7.0 / 8
	// largeHead is the memory of a head above which it may use only largeShare of the
	// memory of heads, in bytes. A usual head with some twenty lines takes 15 KB.
	largeHead  mangomodel.Bytes = 64 << 10
	largeShare                  = 0.75
)

// conn is an open connection.
type conn struct {
	id    ID
	host  *host
	phase Phase
	since time.Time
	// place is the connection's place in the list of its phase.
	place *list.Element
	held  mangomodel.Bytes
}

// host holds the connections of an address, by phase and in the order in which they
// entered it.
type host struct {
	name  Host
	count int
	lists [phases]*list.List
}

// Table holds the open connections. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	limits Limits
	last   ID
	conns  map[ID]*conn
	hosts  map[Host]*host
	held   mangomodel.Bytes
}

// New returns an empty Table.
func New(l Limits) *Table {
	return &Table{limits: l, conns: make(map[ID]*conn), hosts: make(map[Host]*host)}
}

// Open records a new connection. If there are too many, it returns the one to close for
// it, on which the caller calls Close; zero means none. It reports false if the new one is to be
// closed, since all others are being served.
func (t *Table) Open(name Host, now time.Time) (id, victim ID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[name]
	switch {
	case t.limits.Connections <= 0:
	case h != nil && float64(h.count) >= hostShare*float64(t.limits.Connections):
		if victim = h.oldest(); victim == 0 {
			return 0, 0, false
		}
	case len(t.conns) >= t.limits.Connections:
		if victim = t.oldest(); victim == 0 {
			return 0, 0, false
		}
	}
	if h = t.hosts[name]; h == nil {
		h = &host{name: name}
		for i := range h.lists {
			h.lists[i] = list.New()
		}
		t.hosts[name] = h
	}
	t.last++
	c := &conn{id: t.last, host: h, since: now}
	c.place = h.lists[PhaseHead].PushBack(c)
	h.count++
	t.conns[c.id] = c
	return c.id, victim, true
}

// oldest returns the connection to close: of the address with the most connections that
// has one to close, the oldest in the least advanced phase; of equal addresses, the oldest
// of all.
func (t *Table) oldest() ID {
	var best *conn
	for _, h := range t.hosts {
		c := h.candidate()
		if c == nil {
			continue
		}
		if best == nil || h.count > best.host.count || h.count == best.host.count && c.since.Before(best.since) {
			best = c
		}
	}
	if best == nil {
		return 0
	}
	return best.id
}

// oldest returns the connection of the address to close, or zero.
func (h *host) oldest() ID {
	if c := h.candidate(); c != nil {
		return c.id
	}
	return 0
}

// candidate returns the oldest connection in the least advanced phase, or nil. Requests
// that were read whole go on.
func (h *host) candidate() *conn {
	for _, l := range h.lists[:PhaseServing] {
		if e := l.Front(); e != nil {
			return e.Value.(*conn)
		}
	}
	return nil
}

// Enter records that a connection enters a phase.
func (t *Table) Enter(id ID, p Phase, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[id]
	if c == nil {
		return
	}
	c.host.lists[c.phase].Remove(c.place)
	c.phase, c.since = p, now
	c.place = c.host.lists[p].PushBack(c)
}

// Hold records that the head of a connection takes n bytes in place of what it took
// before, which it returns. It reports whether there is memory for them; for less than
// before there always is. One head at a time may exceed the limit, so that it is served in
// calm conditions.
func (t *Table) Hold(id ID, n mangomodel.Bytes) (before mangomodel.Bytes, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[id]
	if c == nil {
		return 0, false
	}
	limit := t.limits.HeadMemory
	if n > largeHead {
		limit = mangomodel.Bytes(largeShare * float64(limit))
	}
	others := t.held - c.held
	if t.limits.HeadMemory > 0 && n > c.held && others > 0 && others+n > limit {
		return c.held, false
	}
	before, c.held = c.held, n
	t.held = others + n
	return before, true
}

// Close removes a connection and returns what its head took. It may have been closed
// before.
func (t *Table) Close(id ID) mangomodel.Bytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[id]
	if c == nil {
		return 0
	}
	delete(t.conns, id)
	t.held -= c.held
	h := c.host
	h.lists[c.phase].Remove(c.place)
	if h.count--; h.count == 0 {
		delete(t.hosts, h.name)
	}
	return c.held
}

// Usage is what the connections take.
type Usage struct {
	Connections int
	HeadMemory  mangomodel.Bytes
}

// Usage returns what the connections take.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Usage{Connections: len(t.conns), HeadMemory: t.held}
}

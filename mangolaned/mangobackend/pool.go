// Package mangobackend talks HTTP to backend servers: model engines and plain
// services.
//
// # Usage
//
//	b := mangobackend.New()
//	generator := mangoroute.New(control, peers, b)
//	poller := mangoagent.NewPoller(control, b, interval)
//	caller := mangoentry.NewCaller(control, ledger, b, tracer, background)
//
// A stream's connection that goes silent is found by missing progress. Any
// failure closes the idle connections to the server, so that the next request
// opens a new one. Calls that must not be repeated get a connection of their
// own, over which the transport never sends a request twice.
package mangobackend

import (
	"sync"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
)

// Backend holds the connections to backend servers.
type Backend struct {
	// reused and single hold clients by address. They are connection pools,
	// which any goroutine may use.
	reused, single sync.Map
}

// New returns a Backend without connections.
func New() *Backend { return &Backend{} }

// client returns the client whose connections are reused.
func (b *Backend) client(server mangoconfig.Host) *mangorest.Client {
	return load(&b.reused, server.Address, func() *mangorest.Client { return newClient(server) })
}

// once returns the client that makes a connection for each request.
func (b *Backend) once(server mangoconfig.Host) *mangorest.Client {
	return load(&b.single, server.Address, func() *mangorest.Client {
		return newClient(server, mangorest.WithoutReuse())
	})
}

func newClient(server mangoconfig.Host, opts ...mangorest.ClientOption) *mangorest.Client {
	return mangorest.NewClient(mangomodel.PeerName(server.ID), server.Address, opts...)
}

func load(m *sync.Map, addr mangomodel.Address, make func() *mangorest.Client) *mangorest.Client {
	if c, ok := m.Load(addr); ok {
		return c.(*mangorest.Client)
	}
	c, _ := m.LoadOrStore(addr, make())
	return c.(*mangorest.Client)
}

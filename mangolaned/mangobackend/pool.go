// Package mangobackend is the HTTP client of backend servers: model engines and
// plain services.
//
// # Usage
//
//	b := mangobackend.New()
//	generator := mangoroute.New(control, peers, b)
//	poller := mangoagent.NewPoller(control, b, interval)
//	caller := mangoentry.NewCaller(control, ledger, b, tracer, background)
//
// An unresponsive connection of a stream is detected by missing progress. Any
// failure closes the idle connections to the server, so that the next request
// opens a new one. Calls of services use a connection of their own, over which the
// transport never sends a request twice and no late response can arrive.
package mangobackend

import (
	"sync"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
)

// Backend holds the connections to backend servers.
type Backend struct {
	// pooled and singleUse hold clients by address. The clients may be used by
	// any goroutine.
	pooled, singleUse sync.Map
}

// New returns a Backend without connections.
func New() *Backend { return &Backend{} }

// pooledClient returns the client of a server that reuses connections.
func (b *Backend) pooledClient(server mangoconfig.Host) *mangorest.Client {
	return loadOrCreate(&b.pooled, server.Address, func() *mangorest.Client { return newClient(server) })
}

// singleUseClient returns the client of a server that opens a connection for
// each request.
func (b *Backend) singleUseClient(server mangoconfig.Host) *mangorest.Client {
	return loadOrCreate(&b.singleUse, server.Address, func() *mangorest.Client {
		return newClient(server, mangorest.WithoutReuse())
	})
}

func newClient(server mangoconfig.Host, opts ...mangorest.ClientOption) *mangorest.Client {
	return mangorest.NewClient(mangomodel.PeerName(server.ID), server.Address, opts...)
}

func loadOrCreate(m *sync.Map, addr mangomodel.Address, create func() *mangorest.Client) *mangorest.Client {
	if c, ok := m.Load(addr); ok {
		return c.(*mangorest.Client)
	}
	c, _ := m.LoadOrStore(addr, create())
	return c.(*mangorest.Client)
}

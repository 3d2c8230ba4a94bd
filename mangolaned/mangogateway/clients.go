package mangogateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"mangolane/core/mangoclients"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/mangolaned/mangoconn"
	"mangolane/mangolaned/mangosettings"
)

const (
	// frontShare, checkShare and peerShare are the shares of the descriptors for the
	// connections of clients, for each of the readiness and metrics addresses, and for those
	// of other daemons. What is left is for servers, for connections to other daemons and
	// for the store.
	frontShare, checkShare, peerShare = 0.5, 0.03, 0.25
	// minConnections, minChecks and minPeers are the least numbers of these connections.
	minConnections, minChecks, minPeers = 64, 16, 32
	// connectionShare is the share of BodyMemory that idle connections of clients may take,
	// and headShare that of the heads of their requests. A daemon of 112 MB has 59 MB of
	// BodyMemory, so 720 connections; at 20 calls a second it uses some dozens.
	connectionShare, headShare = 0.25, 0.15
	// minHeadMemory has room for the heads of a hundred usual requests, in bytes.
	minHeadMemory mangomodel.Bytes = 1 << 20
	// checkHeadMemory is the memory for the heads of requests for readiness or metrics.
	checkHeadMemory mangomodel.Bytes = 512 << 10
	// checkMaxHead is the limit of such a head, in bytes; probes have some hundred.
	checkMaxHead mangomodel.Bytes = 16 << 10
	// peerMessages is the memory for large incomplete messages of other daemons, in bytes. A
	// snapshot for some thousand routes and servers takes about 200 KB.
	peerMessages mangomodel.Bytes = 8 << 20
)

// frontLimits returns the limits of the connections of clients.
func frontLimits(s mangosettings.Gateway) mangoclients.Limits {
	l := mangoclients.Limits{Connections: s.ClientConnections, HeadMemory: s.HeadMemory}
	if l.Connections == 0 {
		l.Connections = mangorest.DescriptorShare(frontShare, minConnections)
		if s.BodyMemory > 0 {
			n := int(connectionShare * float64(s.BodyMemory) / float64(mangorest.ConnectionCost))
			l.Connections = max(min(l.Connections, n), minConnections)
		}
	}
	if l.HeadMemory == 0 && s.BodyMemory > 0 {
		l.HeadMemory = max(mangomodel.Bytes(headShare*float64(s.BodyMemory)), minHeadMemory)
	}
	return l
}

// frontClients bounds the connections of clients.
func (g *Gateway) frontClients() mangorest.Option {
	return mangorest.WithClients(mangorest.Clients{
		Limits: frontLimits(g.settings), StallTime: g.settings.ClientStall.Std(), Memory: g.memory, Observer: g.observer,
		MaxHead: func() mangomodel.Bytes {
			if routing := g.fleet.View().Routing; routing != nil {
				return routing.Limits.HeaderBytes
			}
			return 0
		},
	})
}

// checkClients bounds the connections for readiness or metrics.
func (g *Gateway) checkClients() mangorest.Option {
	return mangorest.WithClients(mangorest.Clients{
		Limits:    mangoclients.Limits{Connections: mangorest.DescriptorShare(checkShare, minChecks), HeadMemory: checkHeadMemory},
		StallTime: g.settings.ClientStall.Std(), Memory: g.memory, Observer: g.observer,
		MaxHead: func() mangomodel.Bytes { return checkMaxHead },
	})
}

// peerLimits bounds the connections of other daemons.
func (g *Gateway) peerLimits() mangoconn.ServeOption {
	return mangoconn.WithLimits(mangoconn.Limits{
		Connections: mangorest.DescriptorShare(peerShare, minPeers), Messages: peerMessages,
		Closed: func(r mangoconn.Reason) { g.observer.connectionClosed("peer", r.String()) },
	})
}

// ClientClosed logs and counts a connection of a client that was refused or closed.
func (o observer) ClientClosed(server string, r mangorest.Reason) {
	o.connectionClosed(server, r.String())
}

// connectionLogInterval is the least time between two lines of one address and reason.
const connectionLogInterval = 5 * time.Second

// connectionClosed counts a connection that was refused or closed at an address, and logs
// the number of those since the last line.
func (o observer) connectionClosed(server, reason string) {
	name := server + "." + reason
	o.metrics.count("Connections.Closed."+name, 1)
	n, ok := o.metrics.closed.add(name, time.Now())
	if ok {
		o.logger.Info("connections closed", zap.String("Server", server), zap.String("Reason", reason), zap.Int("Number", n))
	}
}

// watchConnections adds the connections of a server to the metrics.
func (m *metrics) watchConnections(name string, s *mangorest.Server) {
	// A name is registered once in a new registry.
	_ = m.registry.Register("Connections."+name, gometrics.NewFunctionalGauge(func() int64 { return int64(s.Usage().Connections) }))
	_ = m.registry.Register("Connections."+name+".HeadBytes", gometrics.NewFunctionalGauge(func() int64 { return int64(s.Usage().HeadMemory) }))
}

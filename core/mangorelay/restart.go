package mangorelay

import (
	"context"
	"sync"

	"mangolane/core/mangoending"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// unconfirmed holds the servers that have broken off an exchange since they were listed,
// and may have restarted with another build. The traffic goroutines share it, so a lock
// guards it.
type unconfirmed struct {
	mu   sync.Mutex
	refs map[mangomodel.ServerID]mangotraffic.ServerRef
}

func (u *unconfirmed) add(server *mangotraffic.Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refs == nil {
		u.refs = make(map[mangomodel.ServerID]mangotraffic.ServerRef)
	}
	u.refs[server.ID] = server.Ref()
}

func (u *unconfirmed) remove(id mangomodel.ServerID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.refs, id)
}

// holds reports whether the listed incarnation of a server is unconfirmed.
func (u *unconfirmed) holds(server *mangotraffic.Server) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	ref, ok := u.refs[server.ID]
	return ok && ref.Same(server.Ref())
}

// confirmServer checks a server once more after a wait. It also returns a fault if a server
// that has broken off an exchange does not confirm that it has not restarted, and the call is
// a stream of a service with several builds: the list may still name the build of the earlier
// incarnation.
func (j *job) confirmServer(ctx context.Context, server mangotraffic.Server) error {
	if err := j.checkServer(server); err != nil {
		return err
	}
	if j.route.Kind != mangotraffic.KindStreaming || !j.relay.unconfirmed.holds(&server) || !j.hasSeveralBuilds() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	report, err := responders{j.relay}.Report(ctx, server)
	if err == nil && mangoending.Weigh(server, report, nil) != mangoending.EvidenceEnded {
		j.relay.unconfirmed.remove(server.ID)
		return nil
	}
	j.avoid = append(j.avoid, server.ID)
	return mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(server.ID), mangomodel.CodeUnavailable, mangomodel.RunNot,
		"it has broken off an exchange, and may have restarted with another build")
}

// hasSeveralBuilds reports whether servers of several builds are listed for the service.
func (j *job) hasSeveralBuilds() bool {
	var first *mangomodel.Build
	for _, server := range j.relay.fleet.View().Listed {
		switch {
		case server.Service != j.service.Name:
		case first == nil:
			first = &server.Build
		case *first != server.Build:
			return true
		}
	}
	return false
}

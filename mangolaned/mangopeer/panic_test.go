package mangopeer

import (
	"net"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/mangolaned/mangoconn"
)

// TestPanicFailsOneCall guards against a message that ends the process: the server
// has no control state, so every method that reads it panics.
func TestPanicFailsOneCall(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go NewServer(nil, nil, nil, nil, WithPanicObserver(mangopanic.Nop{})).Serve(l)
	pool, to := mangoconn.New(mangoconn.TCP), mangoconn.Endpoint{Address: mangomodel.Address(l.Addr().String())}
	calls := map[string]any{
		"Command.Probe": ProbeArgs{}, "Command.Acquire": AcquireArgs{}, "Command.Release": ReleaseArgs{},
		"Query.Changes": ChangesArgs{}, "Query.Catalog": Empty{},
	}
	for method, args := range calls {
		err := pool.Call(t.Context(), to, mangomodel.StepProbe, method, args, &Empty{})
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("panic")), method)
	}
	g.Expect(pool.Call(t.Context(), to, mangomodel.StepProbe, "Query.Ping", Empty{}, &Empty{})).To(gomega.Succeed())
}

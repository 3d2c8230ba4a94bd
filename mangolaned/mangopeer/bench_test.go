package mangopeer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"mangolane/core/mangoagent"
	"mangolane/core/mangocommand"
	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/mangolaned/mangoconn"
)

// countingConn counts the bytes that pass in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type nopTracer struct{}

func (nopTracer) Start(ctx context.Context, _ mangomodel.Step, _ mangomodel.PeerName) (context.Context, func(error)) {
	return ctx, func(error) {}
}

type nopReporter struct{}

func (nopReporter) ExchangeFailed(mangomodel.Step, error) {}

// benchPeer starts a daemon on loopback that owns a shard. It returns a client,
// the daemon, and the number of bytes that pass between the two.
func benchPeer(b *testing.B) (*Peers, mangomember.Member, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(b, err)
	b.Cleanup(func() { l.Close() })
	self := mangomember.Member{
		Daemon: "daemon-7", Incarnation: 1796369491689533315, Region: "lakes-east", DataCentre: "east-a",
		Address: mangomodel.Address(l.Addr().String()),
	}
	control := mangocommand.New(self)
	go control.Run(b.Context())
	docs := mangoconfig.Documents{Revision: 1}
	for i := range 20 {
		role := mangomodel.RoleDecode
		if i < 4 {
			role = mangomodel.RolePrefill
		}
		docs.Hosts = append(docs.Hosts, mangoconfig.Versioned[mangoconfig.Host]{Value: mangoconfig.Host{
			ID: mangomodel.HostID(fmt.Sprint("host-", i)), Region: "lakes-east", DataCentre: "east-a", Address: "127.0.0.1:1",
			Role: role, Model: "summarizer", Slots: 20, Pieces: 1000, PrefillRate: 1e9,
		}})
	}
	catalog, err := mangoconfig.FromDocuments(docs)
	check(b, err)
	check(b, control.Do(b.Context(), mangocommand.InstallCatalog{Catalog: catalog}))
	follower := mangoagent.NewFollower(control, nil, nil, nil, nopReporter{}, 0)
	peers := NewPeers()
	go func() { _ = NewServer(control, peers, follower, nopTracer{}).Serve(l) }()
	bytes := &atomic.Int64{}
	client := NewPeers(WithDial(func(ctx context.Context, addr mangomodel.Address) (net.Conn, error) {
		conn, err := mangoconn.TCP(ctx, addr)
		return countingConn{conn, bytes}, err
	}))
	return client, self, bytes
}

func check(b *testing.B, err error) {
	if err != nil {
		b.Fatal(err)
	}
}

func benchDemand(i int) mangomodel.Demand {
	return mangomodel.Demand{
		Grant: mangomodel.GrantID{Holder: mangomodel.Holder{Daemon: "daemon-9", Incarnation: 1796369491689533315}, Number: uint64(i) + 1e6},
		Sequence: mangomodel.Sequence{
			Request: mangomodel.RequestID(fmt.Sprint("daemon-9/1796369491689533315/", i)), Attempt: 1,
			Holder: mangomodel.Holder{Daemon: "daemon-9", Incarnation: 1796369491689533315},
		},
		Workspace: "audit", Model: "summarizer", Prompt: 2000, MaxTokens: 300, Patience: 3e8, TPOT: 31e6, Weight: 1,
		Prefixes:    []mangomodel.PrefixHash{1 << 60, 1 << 61, 1 << 62, 1 << 59, 1 << 58, 1 << 57, 1 << 56},
		Fingerprint: mangomodel.Fingerprint(1<<60 + uint64(i)),
	}
}

var benchShard = mangomodel.ShardID{DataCentre: "east-a", Model: "summarizer"}

// measure runs the benchmark loop with f and reports the bytes per call.
func measure(b *testing.B, bytes *atomic.Int64, f func(i int)) {
	f(0)
	before := bytes.Load()
	i := 0
	for b.Loop() {
		i++
		f(i)
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(i), "bytes/op")
}

func BenchmarkAcquireAndRelease(b *testing.B) {
	client, owner, bytes := benchPeer(b)
	measure(b, bytes, func(i int) {
		g, err := client.Acquire(b.Context(), owner, benchShard, benchDemand(i))
		check(b, err)
		check(b, client.Release(b.Context(), owner, g, mangomodel.Usage{StepTime: 2e7}))
	})
}

func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{0, 10, 100} {
		b.Run(fmt.Sprint("grants ", n), func(b *testing.B) {
			client, owner, bytes := benchPeer(b)
			list := mangomodel.ShardGrants{Shard: benchShard}
			for i := range n {
				g, err := client.Acquire(b.Context(), owner, benchShard, benchDemand(i))
				check(b, err)
				list.Numbers = append(list.Numbers, g.ID.Number)
			}
			holder := benchDemand(0).Sequence.Holder
			measure(b, bytes, func(int) {
				_, err := client.Renew(b.Context(), owner, holder, []mangomodel.ShardGrants{list})
				check(b, err)
			})
		})
	}
}

func BenchmarkProbe(b *testing.B) {
	for _, n := range []int{0, 8} {
		b.Run(fmt.Sprint("updates ", n), func(b *testing.B) {
			client, target, bytes := benchPeer(b)
			msg := mangoagent.ExchangeMessage{Revision: 1}
			for i := range n + 1 {
				msg.Members = append(msg.Members, mangomember.Member{
					Daemon: mangomodel.DaemonID(fmt.Sprint("daemon-", 10+i)), Incarnation: 1796369491689533315,
					Region: "lakes-east", DataCentre: "east-a", Address: "127.0.0.1:7201",
				})
			}
			measure(b, bytes, func(int) {
				_, err := client.Probe(b.Context(), target, msg)
				check(b, err)
			})
		})
	}
}

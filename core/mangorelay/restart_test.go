package mangorelay

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestServerThatBrokeOffConfirmsItsStart guards against a stream at a server that has
// restarted with another build and is still listed with the earlier one.
func TestServerThatBrokeOffConfirmsItsStart(t *testing.T) {
	listed, restarted := time.UnixMilli(1000), time.UnixMilli(2000)
	tests := []struct {
		name   string
		d2     mangomodel.Build
		born   time.Time
		silent time.Duration
		sent   mangomodel.ServerID
		asked  int
	}{
		{"restarted", "v2", restarted, 0, "d2", 1},
		{"not restarted", "v2", listed, 0, "d1", 1},
		{"start not stated", "v2", time.Time{}, 0, "d1", 1},
		{"no reply", "v2", listed, time.Minute, "d2", 1},
		{"one build", "v1", listed, 0, "d1", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withBuilds(t, "v1", test.d2, func(h *harness, _ *recordedOrigins) {
				cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: 3}}
				for _, id := range []mangomodel.ServerID{"d1", "p1", "p2"} {
					server := h.fleet.View().Listed[id]
					server.Born, server.Build = listed, "v1"
					cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &server})
				}
				h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
				h.servers.born = test.born
				h.servers.runs["d1"] = []step{{aborted: true}, {events: events(1, 2)}}
				h.servers.runs["d2"] = []step{{events: events(1, 2)}}
				h.newCall("/once/")
				h.Expect(h.serve()).NotTo(gomega.BeNil())
				h.Expect(h.servers.sent[len(h.servers.sent)-1]).To(gomega.BeEquivalentTo("d1"))
				before := h.servers.reports
				h.servers.silentUntil = map[mangomodel.ServerID]time.Time{"d1": time.Now().Add(test.silent)}
				h.newCall("/once/")
				h.client = &fakeClient{}
				h.Expect(h.serve()).To(gomega.BeNil())
				h.Expect(h.servers.sent[len(h.servers.sent)-1]).To(gomega.Equal(test.sent))
				h.Expect(h.servers.reports - before).To(gomega.Equal(test.asked))
			})
		})
	}
}

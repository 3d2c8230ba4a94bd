package mangorelay

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangostall"
	"mangolane/core/mangotraffic"
)

// remove takes servers off the list, so that no call can continue there.
func (h *harness) remove(list ...mangomodel.ServerID) {
	cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: 2}}
	for _, id := range list {
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id})
	}
	h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
}

// useUpRetries takes the whole retry budget of a service and returns how much was left.
func (h *harness) useUpRetries(service mangotraffic.ServiceName) int {
	n := 0
	for h.fleet.Do(context.Background(), mangofleet.TakeRetry{Service: service}) == nil {
		n++
	}
	return n
}

func TestSilentSecondOfASoundEngineMovesNoStream(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1400 * time.Millisecond} {
		withHarness(t, func(h *harness) {
			h.newCall("/resume/1")
			h.servers.runs["d1"] = []step{{events: events(1, 3), pauseAfter: 1, pause: silence}}
			h.servers.silentUntil = map[mangomodel.ServerID]time.Time{"d1": time.Now().Add(20*time.Millisecond + eventInterval + silence)}
			h.Expect(h.serve()).To(gomega.BeNil())
			h.Expect(h.client.body).To(gomega.Equal("123"))
			h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1")))
		})
	}
}

func TestStalledStreamGoesOnWithoutASuccessor(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(h *harness)
	}{
		{"no other server", func(h *harness) { h.remove("d2") }},
		{"no retry left", func(h *harness) { h.useUpRetries("llm") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				test.prepare(h)
				h.newCall("/resume/1")
				h.servers.unreachable = map[mangomodel.ServerID]bool{"d1": true}
				h.servers.runs["d1"] = []step{{events: events(1, 3), pauseAfter: 1, pause: 4 * time.Second}}
				h.Expect(h.serve()).To(gomega.BeNil())
				h.Expect(h.client.body).To(gomega.Equal("123"))
			})
		})
	}
}

func TestStreamWithoutEventIDsIsNotGivenUp(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/resume/1")
		h.servers.unreachable = map[mangomodel.ServerID]bool{"d1": true}
		h.servers.runs["d1"] = []step{{events: []mangotraffic.EventID{0, 0}, interval: 1800 * time.Millisecond}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("00"))
	})
}

func TestEventsWithoutProgressDoNotCutAStreamWithoutASuccessor(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.remove("d2")
		first := step{events: events(1, 1), comments: true}
		for range 4 * time.Second / eventInterval {
			first.events = append(first.events, 0)
		}
		first.events = append(first.events, 2)
		h.newCall("/resume/1")
		h.servers.runs["d1"] = []step{first}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(strings.HasSuffix(h.client.body, "2")).To(gomega.BeTrue())
	})
}

func TestSlowPlainCallIsNotGivenUpWithoutASuccessor(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(h *harness)
	}{
		{"no other server", func(h *harness) { h.remove("s2") }},
		{"no retry left", func(h *harness) { h.useUpRetries("app") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				test.prepare(h)
				h.newCall("/read/1")
				h.servers.runs["s1"] = []step{{responseDelay: 700 * time.Millisecond, body: "a"}}
				h.Expect(h.serve()).To(gomega.BeNil())
				h.Expect(h.client.body).To(gomega.Equal("a"))
			})
		})
	}
}

func TestResponseTimeoutDoesNotCutAStreamOfAPlainServer(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/feed/1")
		h.servers.runs["s1"] = []step{{events: events(1, 9), interval: 100 * time.Millisecond}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("123456789"))
	})
}

// A handover takes a retry for the prefill and one for the run; the next one finds
// the budget as it was.
func TestHandoverTakesEachRetryOnce(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.unreachable = map[mangomodel.ServerID]bool{"d1": true}
		for range retryBudget / 2 {
			h.newCall("/resume/1")
			h.servers.runs["d1"] = []step{{events: events(1, 1), stalls: true}}
			h.servers.runs["d2"] = []step{{events: events(2, 2)}}
			h.Expect(h.serve()).To(gomega.BeNil())
		}
	})
}

func TestPrefillThatEndsAtItsHandoverLeaksNoLease(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/resume/1")
		h.servers.prefills["p1"] = []step{{responseDelay: time.Minute, late: true}, {}}
		h.servers.runs["d1"] = []step{hang}
		h.servers.runs["d2"] = []step{{events: events(1, 2)}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("12"))
		h.Expect(h.useUpRetries("llm")).To(gomega.Equal(retryBudget-2), "one of a prefill and one of a run")
	})
}

func TestHandoverOfAnEndedExchangeReturnsItsRetries(t *testing.T) {
	withHarness(t, func(h *harness) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		next := &handover{ctx: ctx, relay: h.relay, demand: mangolease.Demand{Service: "llm"}, phases: []mangoexchange.Phase{mangoexchange.PhaseRun}}
		// Whether a command whose context has ended is applied is left to chance.
		for range 40 {
			h.Expect(next.Secure(true)).NotTo(gomega.Succeed())
		}
		h.Expect(h.useUpRetries("llm")).To(gomega.Equal(retryBudget))
	})
}

func TestHandoverThatFailsReturnsItsRetries(t *testing.T) {
	for _, left := range []int{1, retryBudget} {
		withHarness(t, func(h *harness) {
			for range retryBudget - left {
				h.Expect(h.fleet.Do(context.Background(), mangofleet.TakeRetry{Service: "llm"})).To(gomega.Succeed())
			}
			h.remove("d2")
			h.newCall("/resume/1")
			h.servers.unreachable = map[mangomodel.ServerID]bool{"d1": true}
			h.servers.runs["d1"] = []step{{events: events(1, 2), pauseAfter: 1, pause: 4 * time.Second}}
			h.Expect(h.serve()).To(gomega.BeNil())
			time.Sleep(mangostall.SilenceTolerance)
			h.Expect(h.useUpRetries("llm")).To(gomega.Equal(left))
		})
	}
}

func TestRefusalAtAHandoverKeepsTheCache(t *testing.T) {
	withHarness(t, func(h *harness) {
		service, _ := h.fleet.View().Routing.Service("llm")
		service.Engine.HandleLifetime = 10 * time.Second
		h.newCall("/resume/1")
		h.servers.runs["d1"] = []step{{responseDelay: time.Minute, late: true, status: 503, notRun: true}}
		h.servers.runs["d2"] = []step{{events: events(1, 2)}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("12"))
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1", "d2")))
	})
}

func TestBrokenStreamWaitsForTheRetryBudget(t *testing.T) {
	withHarness(t, func(h *harness) {
		// The budget counts in parts of half a second.
		time.Sleep(time.Until(time.Now().Truncate(10 * time.Second).Add(10 * time.Second)))
		h.useUpRetries("llm")
		time.Sleep(9200 * time.Millisecond)
		h.newCall("/resume/1")
		h.servers.runs["d1"] = []step{{events: events(1, 2), aborted: true}}
		h.servers.runs["d2"] = []step{{events: events(3, 4)}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("1234"))
	})
}

func TestUnreachableServersDoNotUseUpTheAttemptsOfAStream(t *testing.T) {
	withHarness(t, func(h *harness) {
		cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: 2}}
		for id, centre := range map[mangomodel.ServerID]mangomodel.DataCentreID{"p3": "a2", "p4": "far"} {
			server := mangotraffic.Server{ID: id, Service: "llm", DataCentre: centre, Slots: 4, Stage: mangotraffic.StagePrefill}
			cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &server})
		}
		h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
		h.newCall("/resume/1")
		h.servers.runs["d1"] = []step{{events: events(1, 2), aborted: true}}
		h.servers.runs["d2"] = []step{{events: events(3, 4)}}
		h.servers.prefills["p1"] = []step{{}, {err: errNoConn}}
		for _, id := range ids("p2", "p3") {
			h.servers.prefills[id] = []step{{err: errNoConn}}
		}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("1234"))
	})
}

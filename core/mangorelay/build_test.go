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

// recordedOrigins knows the builds of some streams.
type recordedOrigins struct {
	known map[mangomodel.RequestID]mangomodel.Build
	begun map[mangomodel.RequestID][]mangomodel.Build
	// doubted are the streams whose build is not known after all.
	doubted []mangomodel.RequestID
	asked   []mangotraffic.StreamID
}

func (o *recordedOrigins) Begin(stream mangotraffic.StreamID, build mangomodel.Build) {
	o.begun[stream.Request] = append(o.begun[stream.Request], build)
}

func (o *recordedOrigins) Doubt(stream mangotraffic.StreamID) {
	o.doubted = append(o.doubted, stream.Request)
}

func (o *recordedOrigins) Origin(_ context.Context, stream mangotraffic.StreamID) (mangomodel.Build, error) {
	o.asked = append(o.asked, stream)
	build, ok := o.known[stream.Request]
	if !ok {
		return "", notRunFault(mangomodel.CodeCannotResume, "the build is not known")
	}
	return build, nil
}

// withBuilds runs f with decode engines d1, which is nearer, and d2 of a build each, and
// with origins.
func withBuilds(t *testing.T, d1, d2 mangomodel.Build, f func(h *harness, o *recordedOrigins)) {
	withHarness(t, func(h *harness) {
		h.listBuilds(2, map[mangomodel.ServerID]mangomodel.Build{"d1": d1, "d2": d2}, 0)
		o := &recordedOrigins{
			known: map[mangomodel.RequestID]mangomodel.Build{"one": "v1", "two": "v2", "gone": "v0"},
			begun: make(map[mangomodel.RequestID][]mangomodel.Build),
		}
		WithOrigins(o)(h.relay)
		h.newCall("/resume/1")
		f(h, o)
	})
}

// listBuilds lists decode engines that started some time after the zero time.
func (h *harness) listBuilds(position uint64, builds map[mangomodel.ServerID]mangomodel.Build, born time.Duration) {
	cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: position}}
	for id, build := range builds {
		centre := mangomodel.DataCentreID("a1")
		if id != "d1" {
			centre = "a2"
		}
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &mangotraffic.Server{
			ID: id, Service: "llm", DataCentre: centre, Slots: 4, Stage: mangotraffic.StageDecode, Build: build, Born: time.Time{}.Add(born),
		}})
	}
	h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
}

// resume makes the call take up a stream after event 2.
func (h *harness) resume(attempt mangomodel.RequestID) {
	h.call.LastEventID, h.call.Resumes = 2, attempt
}

func TestBrokenStreamContinuesAtTheBuildThatBeganIt(t *testing.T) {
	withBuilds(t, "v1", "v2", func(h *harness, o *recordedOrigins) {
		h.listBuilds(3, map[mangomodel.ServerID]mangomodel.Build{"d3": "v1", "d4": "v2", "d5": "v2", "d6": "v2"}, 0)
		h.servers.runs["d1"] = []step{{events: events(1, 2), aborted: true}}
		for _, id := range []mangomodel.ServerID{"d2", "d3", "d4", "d5", "d6"} {
			h.servers.runs[id] = []step{{events: events(3, 4)}}
		}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.HaveLen(4))
		h.Expect(h.servers.sent[3]).To(gomega.BeEquivalentTo("d3"))
		h.Expect(o.begun).To(gomega.Equal(map[mangomodel.RequestID][]mangomodel.Build{"r": {"v1"}}))
	})
}

func TestStreamWhoseBuildIsGoneEndsAtOnce(t *testing.T) {
	withBuilds(t, "v1", "v2", func(h *harness, _ *recordedOrigins) {
		h.servers.announce = h.announce
		h.servers.runs["d1"] = []step{{leaves: true, events: events(1, 2), aborted: true}}
		h.servers.runs["d2"] = []step{{events: events(3, 4)}}
		began := time.Now()
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeCannotResume))
		h.Expect(h.client.body).To(gomega.Equal("12"))
		h.Expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	})
}

func TestResumedStreamContinuesAtTheBuildThatBeganIt(t *testing.T) {
	for attempt, want := range map[mangomodel.RequestID]mangomodel.ServerID{"one": "d1", "two": "d2"} {
		for _, target := range []string{"/resume/1", "/feed/1"} {
			withBuilds(t, "v1", "v2", func(h *harness, o *recordedOrigins) {
				h.newCall(target)
				h.resume(attempt)
				service := mangotraffic.ServiceName("llm")
				if target == "/feed/1" {
					service, want = "app", map[mangomodel.ServerID]mangomodel.ServerID{"d1": "s1", "d2": "s2"}[want]
					h.listApp()
				}
				for _, id := range []mangomodel.ServerID{"d1", "d2", "s1", "s2"} {
					h.servers.runs[id] = []step{{events: events(3, 4)}}
				}
				h.Expect(h.serve()).To(gomega.BeNil())
				h.Expect(h.servers.sent).To(gomega.ContainElement(want))
				h.Expect(h.client.body).To(gomega.Equal("34"))
				h.Expect(o.asked).To(gomega.Equal([]mangotraffic.StreamID{{Service: service, Request: attempt}}))
				h.Expect(o.begun).To(gomega.BeEmpty(), "it began earlier")
			})
		}
	}
}

// listApp lists the plain servers s1 with build v1 and s2 with build v2.
func (h *harness) listApp() {
	cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: 3}, Changes: []mangotraffic.ServerChange{
		{ID: "s1", Server: &mangotraffic.Server{ID: "s1", Service: "app", DataCentre: "a1", Slots: 4, Build: "v1"}},
		{ID: "s2", Server: &mangotraffic.Server{ID: "s2", Service: "app", DataCentre: "a2", Slots: 4, Build: "v2"}},
	}}
	h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
}

func TestStreamThatCannotResumeIsRefusedAtOnce(t *testing.T) {
	for _, attempt := range []mangomodel.RequestID{"gone", "unknown", ""} {
		withBuilds(t, "v1", "v2", func(h *harness, _ *recordedOrigins) {
			h.resume(attempt)
			began := time.Now()
			fault := h.serve()
			h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeCannotResume))
			h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunNot))
			h.Expect(fault.RetryAfter).To(gomega.BeZero())
			h.Expect(h.servers.sent).To(gomega.BeEmpty())
			h.Expect(time.Since(began)).To(gomega.BeZero())
		})
	}
}

func TestStalledStreamContinuesAtTheBuildThatBeganIt(t *testing.T) {
	withBuilds(t, "v1", "v2", func(h *harness, _ *recordedOrigins) {
		h.listBuilds(3, map[mangomodel.ServerID]mangomodel.Build{"d3": "v1", "d4": "v2", "d5": "v2", "d6": "v2"}, 0)
		h.servers.runs["d1"] = []step{{events: events(1, 2), stalls: true}}
		for _, id := range []mangomodel.ServerID{"d2", "d3", "d4", "d5", "d6"} {
			h.servers.runs[id] = []step{{events: events(3, 4)}}
		}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("1234"))
		h.Expect(h.servers.sent[len(h.servers.sent)-1]).To(gomega.BeEquivalentTo("d3"))
	})
}

// TestStreamOfARestartedServerContinuesNowhere guards against a continuation at the build
// that the list had named: the server had restarted with another one before the first event.
func TestStreamOfARestartedServerContinuesNowhere(t *testing.T) {
	for _, test := range []struct{ after, born time.Duration }{
		{50 * time.Millisecond, time.Second}, {120 * time.Millisecond, time.Second},
		// Another writer may have changed the entry without a later start.
		{50 * time.Millisecond, 0}, {120 * time.Millisecond, 0},
	} {
		withBuilds(t, "v1", "v1", func(h *harness, o *recordedOrigins) {
			h.servers.runs["d1"] = []step{{events: events(1, 3), responseDelay: 100 * time.Millisecond, aborted: true}}
			h.servers.runs["d2"] = []step{{events: events(4, 4)}}
			time.AfterFunc(test.after, func() {
				h.listBuilds(3, map[mangomodel.ServerID]mangomodel.Build{"d1": "v2"}, test.born)
			})
			h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeCannotResume))
			h.Expect(h.client.body).To(gomega.Equal("123"))
			h.Expect(o.begun["r"]).To(gomega.Equal([]mangomodel.Build{"v1", "v2"}))
		})
	}
}

// TestStreamOfARestartNotListedYetContinuesNowhere guards against a continuation at the listed
// build of a server that had restarted with another one, of which the list says so later.
func TestStreamOfARestartNotListedYetContinuesNowhere(t *testing.T) {
	listed, restarted := time.UnixMilli(1000), time.UnixMilli(2000)
	tests := []struct {
		name string
		// born is when d1 says that it started; silent is for how long it does not reply.
		born    time.Time
		silent  time.Duration
		backoff time.Duration
		body    string
		asked   int
	}{
		{"restarted", restarted, 0, 0, "123", 1},
		{"restarted after the first event", time.Date(2000, 1, 1, 0, 1, 0, 0, time.UTC), 0, 0, "1234", 1},
		{"not restarted", listed, 0, 0, "1234", 1},
		{"start not stated", time.Time{}, 0, 0, "1234", 1},
		{"no reply", restarted, time.Minute, 0, "1234", 1},
		{"asked for time", restarted, 0, time.Minute, "1234", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withBuilds(t, "v1", "v1", func(h *harness, o *recordedOrigins) {
				d1 := h.fleet.View().Listed["d1"]
				d1.Born = listed
				cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: 3}, Changes: []mangotraffic.ServerChange{{ID: "d1", Server: &d1}}}
				h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
				h.servers.announce, h.servers.born = h.announce, test.born
				h.servers.silentUntil = map[mangomodel.ServerID]time.Time{"d1": time.Now().Add(test.silent)}
				h.servers.runs["d1"] = []step{{events: events(1, 3), aborted: true, backoff: test.backoff}}
				h.servers.runs["d2"] = []step{{events: events(4, 4)}}
				fault := h.serve()
				h.Expect(h.client.body).To(gomega.Equal(test.body))
				h.Expect(h.servers.reports).To(gomega.Equal(test.asked))
				if test.body == "1234" {
					h.Expect(fault).To(gomega.BeNil())
					h.Expect(o.doubted).To(gomega.BeEmpty())
					return
				}
				h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeCannotResume))
				h.Expect(o.doubted).To(gomega.Equal([]mangomodel.RequestID{"r"}))
			})
		})
	}
}

// TestContinuationAtARestartedServerIsNotSent guards against events of a server that is
// found to have restarted with another build after it was asked to continue a stream.
func TestContinuationAtARestartedServerIsNotSent(t *testing.T) {
	withBuilds(t, "v1", "v2", func(h *harness, o *recordedOrigins) {
		h.resume("one")
		h.servers.runs["d1"] = []step{{events: events(3, 4), responseDelay: 100 * time.Millisecond}}
		time.AfterFunc(50*time.Millisecond, func() {
			h.listBuilds(3, map[mangomodel.ServerID]mangomodel.Build{"d1": "v2"}, time.Second)
		})
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeCannotResume))
		h.Expect(h.client.body).To(gomega.BeEmpty())
		h.Expect(o.begun).To(gomega.BeEmpty())
	})
}

// TestRestartedServerIsNoContinuation guards against a continuation at a server that has
// restarted with another build since its lease was granted.
func TestRestartedServerIsNoContinuation(t *testing.T) {
	withBuilds(t, "v1", "v1", func(h *harness, _ *recordedOrigins) {
		h.resume("one")
		h.servers.prefills["p1"] = []step{{responseDelay: 100 * time.Millisecond}}
		h.servers.prefills["p2"] = []step{{responseDelay: 100 * time.Millisecond}}
		time.AfterFunc(50*time.Millisecond, func() {
			h.listBuilds(3, map[mangomodel.ServerID]mangomodel.Build{"d1": "v2", "d2": "v2"}, time.Second)
		})
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeCannotResume))
		h.Expect(h.client.body).To(gomega.BeEmpty())
	})
}

// TestServerIsCheckedAfterTheWaitForARetry guards against a continuation that is sent to a
// server that restarted with another build while the call waited for the retry budget.
func TestServerIsCheckedAfterTheWaitForARetry(t *testing.T) {
	withBuilds(t, "v1", "v2", func(h *harness, _ *recordedOrigins) {
		h.listBuilds(3, map[mangomodel.ServerID]mangomodel.Build{"d3": "v1"}, 0)
		h.servers.runs["d1"] = []step{{events: events(1, 2), aborted: true}}
		h.servers.runs["d3"] = []step{{events: events(3, 4)}}
		ctx := context.Background()
		// A prefill and a run are left.
		for range retryBudget - 1 {
			h.Expect(h.fleet.Do(ctx, mangofleet.TakeRetry{Service: "llm"})).To(gomega.Succeed())
		}
		broken := 2 * eventInterval
		time.AfterFunc(broken+3*budgetInterval, func() {
			h.listBuilds(4, map[mangomodel.ServerID]mangomodel.Build{"d3": "v2"}, time.Second)
		})
		time.AfterFunc(broken+4*budgetInterval, func() {
			h.Expect(h.fleet.Do(ctx, mangofleet.RefundRetry{Service: "llm"})).To(gomega.Succeed())
		})
		h.Expect(h.serve()).NotTo(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("12"))
		h.Expect(h.servers.sent).NotTo(gomega.ContainElement(mangomodel.ServerID("d3")))
	})
}

package mangorelay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

func ids(list ...mangomodel.ServerID) []mangomodel.ServerID { return list }

func events(from, to mangotraffic.EventID) []mangotraffic.EventID {
	list := []mangotraffic.EventID{}
	for id := from; id <= to; id++ {
		list = append(list, id)
	}
	return list
}

// TestPlainCalls lists, for each kind of route, how a call continues after each
// outcome at the first server.
func TestPlainCalls(t *testing.T) {
	tests := []struct {
		name   string
		target string
		first  step
		// sent lists the servers that received the call.
		sent   []mangomodel.ServerID
		status int
		// run and code are those of the fault, if any.
		run  mangomodel.Run
		code mangomodel.Code
	}{
		{"response", "/call/1", step{body: "a"}, ids("s1"), 200, 0, 0},
		{"error status of the server is final", "/read/1", step{status: 500, body: "a"}, ids("s1"), 500, 0, 0},
		{"no response to a non-idempotent call", "/call/1", step{err: errNoReply}, ids("s1"), 0, mangomodel.RunUnknown, mangomodel.CodeUnavailable},
		{"truncated response to a non-idempotent call", "/call/1", step{body: "a", aborted: true}, ids("s1"), 0, mangomodel.RunUnknown, mangomodel.CodeUnknownOutcome},
		{"no response to an idempotent call", "/read/1", step{err: errNoReply}, ids("s1", "s2"), 200, 0, 0},
		{"truncated response to an idempotent call", "/read/1", step{body: "a", aborted: true}, ids("s1", "s2"), 200, 0, 0},
		{"response timeout of an idempotent call", "/read/1", step{responseDelay: time.Minute}, ids("s1", "s2"), 200, 0, 0},
		{"timeout of a non-idempotent call", "/call/1", step{responseDelay: time.Minute}, ids("s1"), 0, mangomodel.RunUnknown, mangomodel.CodeTimeout},
		{"refused as not run", "/call/1", step{status: 503, notRun: true}, ids("s1", "s2"), 200, 0, 0},
		{"unproven refusal of a non-idempotent call", "/call/1", step{status: 503, refusal: true, body: "a"}, ids("s1"), 0, mangomodel.RunUnknown, mangomodel.CodeBackend},
		{"unproven refusal of an idempotent call is final", "/read/1", step{status: 503, refusal: true, body: "a"}, ids("s1"), 503, 0, 0},
		{"misdirected", "/call/1", step{status: 421, notRun: true, misdirected: true}, ids("s1", "s2"), 200, 0, 0},
		{"connection refused", "/call/1", step{err: errNoConn}, ids("s1", "s2"), 200, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.newCall(test.target)
				h.servers.runs["s1"] = []step{test.first}
				h.servers.runs["s2"] = []step{{body: "b"}}
				fault := h.serve()
				h.Expect(h.servers.sent).To(gomega.Equal(test.sent))
				h.Expect(h.client.status).To(gomega.Equal(test.status))
				if test.status != 0 {
					h.Expect(fault).To(gomega.BeNil())
					return
				}
				h.Expect(fault.Run).To(gomega.Equal(test.run))
				h.Expect(fault.Code).To(gomega.Equal(test.code))
			})
		})
	}
}

func TestRunOfFinalFault(t *testing.T) {
	tests := []struct {
		name string
		step step
		run  mangomodel.Run
	}{
		{"all servers refuse", step{status: 503, notRun: true}, mangomodel.RunNot},
		{"no server is reachable", step{err: errNoConn}, mangomodel.RunNot},
		{"no response from any server", step{err: errNoReply}, mangomodel.RunUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.newCall("/read/1")
				h.servers.runs["s1"], h.servers.runs["s2"] = []step{test.step}, []step{test.step}
				h.Expect(h.serve().Run).To(gomega.Equal(test.run))
			})
		})
	}
}

func TestRouteTimeoutBoundsCall(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.runs["s1"] = []step{{responseDelay: time.Minute}}
		began := time.Now()
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeTimeout))
		h.Expect(time.Since(began)).To(gomega.Equal(time.Second))
	})
}

func TestClientDeadlineBoundsCall(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.call.Deadline = time.Now().Add(100 * time.Millisecond)
		h.servers.runs["s1"] = []step{{responseDelay: time.Minute}}
		began := time.Now()
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeTimeout))
		h.Expect(time.Since(began)).To(gomega.Equal(100 * time.Millisecond))
	})
}

func TestStream(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.runs["d1"] = []step{{events: events(1, 3)}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("123"))
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1")))
		h.Expect(h.servers.options[0].Source.Server.ID).To(gomega.BeEquivalentTo("p1"))
	})
}

// TestAbortedStream lists how a stream continues after a failure at its first
// server. The client receives each event once.
func TestAbortedStream(t *testing.T) {
	tests := []struct {
		name   string
		target string
		first  step
		second step
		body   string
		// complete is set if the client receives the whole stream.
		complete bool
		// lastEventID is the one that the second server receives.
		lastEventID mangotraffic.EventID
	}{
		{"continues at another server", "/resume/1", step{events: events(1, 2), aborted: true}, step{events: events(3, 4)}, "1234", true, 2},
		{"had no further event", "/resume/1", step{events: events(1, 2), aborted: true}, step{events: events(1, 0)}, "12", true, 2},
		{"fails unless all its events have ids", "/resume/1", step{events: []mangotraffic.EventID{0, 1}, aborted: true}, step{events: events(2, 3)}, "01", false, 0},
		{"drops duplicate events", "/resume/1", step{events: events(1, 2), aborted: true}, step{events: events(1, 4)}, "1234", true, 2},
		{"continues although ids are not consecutive", "/resume/1", step{events: []mangotraffic.EventID{1, 3}, aborted: true}, step{events: []mangotraffic.EventID{6, 8}}, "1368", true, 3},
		{"continues with a gap at the new server", "/resume/1", step{events: events(1, 2), aborted: true}, step{events: []mangotraffic.EventID{3, 5}}, "1235", true, 2},
		{"continues after an event without an id", "/resume/1", step{events: []mangotraffic.EventID{1, 2, 0, 7}}, step{events: events(3, 4)}, "1234", true, 2},
		{"ends at an event without an id unless resumable", "/once/1", step{events: []mangotraffic.EventID{1, 2, 0, 3}}, step{events: events(3, 4)}, "12", false, 0},
		{"continues after a stall", "/resume/1", step{events: events(1, 2), stalls: true}, step{events: events(3, 4)}, "1234", true, 2},
		{"restarts before the first event", "/resume/1", step{err: errNoReply}, step{events: events(1, 2)}, "12", true, 0},
		{"fails unless resumable", "/once/1", step{events: events(1, 2), aborted: true}, step{events: events(3, 4)}, "12", false, 0},
		{"stalls until the timeout unless resumable", "/once/1", step{events: []mangotraffic.EventID{}, stalls: true}, step{events: events(1, 2)}, "", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.newCall(test.target)
				h.servers.runs["d1"], h.servers.runs["d2"] = []step{test.first}, []step{test.second}
				fault := h.serve()
				h.Expect(h.client.body).To(gomega.Equal(test.body))
				h.Expect(fault == nil).To(gomega.Equal(test.complete))
				if !test.complete {
					h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunUnknown))
					h.Expect(h.servers.options).To(gomega.HaveLen(1))
					return
				}
				h.Expect(h.client.begun).To(gomega.Equal(1))
				h.Expect(h.servers.options[1].LastEventID).To(gomega.Equal(test.lastEventID))
			})
		})
	}
}

// TestEventsWithoutProgressDoNotKeepAStreamAlive guards against a stalled server
// that sends a comment or an old event now and then: only a new event counts as
// progress. A stream that cannot continue elsewhere ends at its route's timeout.
func TestEventsWithoutProgressDoNotKeepAStreamAlive(t *testing.T) {
	const boundOfStall = 5 * time.Second
	tests := []struct {
		name     string
		id       mangotraffic.EventID
		comments bool
		// complete is set if the stream can continue at another server.
		complete bool
	}{
		{"comments", 0, true, true},
		{"an old event", 2, false, true},
		{"events without ids", 0, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				first := step{events: events(1, 2), comments: test.comments}
				for range 10_000 {
					first.events = append(first.events, test.id)
				}
				h.newCall("/resume/1")
				h.servers.runs["d1"], h.servers.runs["d2"] = []step{first}, []step{{events: events(3, 4)}}
				began := time.Now()
				fault := h.serve()
				h.Expect(time.Since(began)).To(gomega.BeNumerically("<", boundOfStall))
				h.Expect(fault == nil).To(gomega.Equal(test.complete))
				h.Expect(h.client.begun).To(gomega.Equal(1))
				h.Expect(strings.HasSuffix(h.client.body, "34")).To(gomega.Equal(test.complete))
			})
		})
	}
}

// TestSlowStreamIsNotCut plays a server that sends an event each 2.5 times the
// longest pause and answers load reports.
func TestSlowStreamIsNotCut(t *testing.T) {
	for _, target := range []string{"/resume/1", "/once/1"} {
		withHarness(t, func(h *harness) {
			h.newCall(target)
			h.servers.runs["d1"] = []step{{events: events(1, 9), interval: 750 * time.Millisecond}}
			h.Expect(h.serve()).To(gomega.BeNil())
			h.Expect(h.client.body).To(gomega.Equal("123456789"))
			h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1")))
		})
	}
}

// TestCallWithoutDeadline covers a client that sends no deadline: the route's
// timeout bounds its call.
func TestCallWithoutDeadline(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.call.Deadline = time.Time{}
		h.servers.runs["s1"] = []step{{responseDelay: 500 * time.Millisecond, body: "a"}, {responseDelay: time.Minute}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.newCall("/call/1")
		h.call.Deadline = time.Time{}
		began := time.Now()
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeTimeout))
		h.Expect(time.Since(began)).To(gomega.Equal(time.Second))
	})
}

func TestFullDecodeServerKeepsPrefill(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.runs["d1"] = []step{{status: 503, notRun: true}}
		h.servers.runs["d2"] = []step{{events: events(1, 1)}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1", "d2")))
	})
}

func TestLostCacheIsRecomputed(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		refusal := step{status: 503, notRun: true}
		h.servers.runs["d1"] = []step{refusal, {events: events(1, 1)}}
		h.servers.runs["d2"] = []step{refusal}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1", "d2", "p2", "d1")))
	})
}

// TestStalledServerIsEjected covers a server that accepts calls but sends no event
// and does not respond to load reports.
func TestStalledServerIsEjected(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.unreachable = map[mangomodel.ServerID]bool{"d1": true}
		h.servers.runs["d1"] = []step{{events: []mangotraffic.EventID{}, stalls: true}}
		h.servers.runs["d2"] = []step{{events: events(1, 1)}}
		for range 3 {
			h.newCall("/resume/1")
			h.Expect(h.serve()).To(gomega.BeNil())
		}
		h.servers.sent = nil
		h.newCall("/resume/1")
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).NotTo(gomega.ContainElement(mangomodel.ServerID("d1")))
	})
}

// TestPauseOfResponsiveServerIsTolerated covers a preempted stream, which resumes
// after a pause.
func TestPauseOfResponsiveServerIsTolerated(t *testing.T) {
	for _, target := range []string{"/resume/1", "/once/1"} {
		withHarness(t, func(h *harness) {
			h.newCall(target)
			h.servers.runs["d1"] = []step{{events: events(1, 3), pauseAfter: 1, pause: 1500 * time.Millisecond}}
			h.Expect(h.serve()).To(gomega.BeNil())
			h.Expect(h.client.body).To(gomega.Equal("123"))
			h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1")))
		})
	}
}

// TestExpiredLeaseIsNotUsed covers a prefill that outlasts the lease, which nothing
// renews here: the decode server is leased again before the call is sent there. No
// other server can take over the prefill.
func TestExpiredLeaseIsNotUsed(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.remove("p2")
		last := &lastResult{}
		h.relay.observer = last
		h.newCall("/once/1")
		h.call.Arrived = time.Now().Add(time.Second)
		h.servers.prefills["p1"] = []step{{responseDelay: mangopool.HolderTimeout}}
		h.servers.runs["d1"] = []step{{events: events(1, 1)}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1")))
		h.Expect(last.result.Attempts).To(gomega.BeEquivalentTo(2))
	})
}

func TestFailedPrefillIsRetried(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.prefills["p1"] = []step{{err: errNoReply}}
		h.servers.runs["d1"] = []step{{events: events(1, 1)}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "p2", "d1")))
	})
}

func TestUnusedCacheIsReleased(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.runs["d1"] = []step{{err: errNoConn}}
		h.servers.runs["d2"] = []step{{err: errNoConn}}
		h.Expect(h.serve()).NotTo(gomega.BeNil())
		synctest.Wait()
		h.Expect(h.servers.releasedCaches).NotTo(gomega.BeEmpty())
	})
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	withHarness(t, func(h *harness) {
		refusal := step{status: 503, notRun: true}
		h.servers.runs["s1"], h.servers.runs["s2"] = []step{refusal}, []step{refusal}
		const calls = 12
		for range calls {
			h.newCall("/call/1")
			h.Expect(h.serve().Run).To(gomega.Equal(mangomodel.RunNot))
			time.Sleep(100 * time.Millisecond)
		}
		h.Expect(len(h.servers.sent)).To(gomega.BeNumerically("<=", calls+retryBudget))
	})
}

func TestClientDisconnectCancelsCall(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.runs["s1"] = []step{{responseDelay: time.Minute}}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		began := time.Now()
		err := h.relay.Serve(ctx, h.call, h.client)
		h.Expect(mangomodel.HasCode(err, mangomodel.CodeCancelled)).To(gomega.BeTrue())
		h.Expect(time.Since(began)).To(gomega.Equal(50 * time.Millisecond))
	})
}

func TestClientDisconnectDoesNotEjectServer(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.runs["s1"] = []step{{responseDelay: time.Minute}}
		for range 5 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(10*time.Millisecond, cancel)
			h.newCall("/call/1")
			h.Expect(h.relay.Serve(ctx, h.call, h.client)).NotTo(gomega.Succeed())
		}
		h.servers.runs["s1"] = []step{{body: "a"}}
		h.servers.sent = nil
		h.newCall("/call/1")
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("s1")))
	})
}

func TestLeavingServerReceivesNoCall(t *testing.T) {
	withHarness(t, func(h *harness) {
		leaving := mangotraffic.Server{ID: "s1", Service: "app", DataCentre: "a1", Slots: 4, State: mangotraffic.StateLeaving}
		h.Expect(h.fleet.Do(context.Background(), mangofleet.ChangeServers{
			Changes: []mangotraffic.ServerChange{{ID: "s1", Server: &leaving}}, Cursor: mangotraffic.Cursor{Position: 2},
		})).To(gomega.Succeed())
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("s2")))
	})
}

func TestCallThatCrashesServersIsQuarantined(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.runs["s1"], h.servers.runs["s2"] = []step{{err: errNoReply}}, []step{{err: errNoReply}}
		var last *mangomodel.Fault
		for range 4 {
			h.newCall("/read/1")
			last = h.serve()
			time.Sleep(5 * time.Second)
		}
		h.Expect(last.Code).To(gomega.Equal(mangomodel.CodeQuarantined))
		h.Expect(last.Run).To(gomega.Equal(mangomodel.RunNot))
	})
}

// TestCallsWaitForTheFirstConfiguration guards against a daemon that refuses calls in
// the moments after its start: all daemons may start at once, and receive the
// configuration within a fraction of a second.
func TestCallsWaitForTheFirstConfiguration(t *testing.T) {
	startHarness(t, true, func(h *harness) {
		h.servers.runs["s1"] = []step{{body: "a"}}
		time.AfterFunc(150*time.Millisecond, h.configure)
		began := time.Now()
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(time.Since(began)).To(gomega.Equal(150 * time.Millisecond))
	})
}

func TestUnsyncedDaemonRefusesInTime(t *testing.T) {
	tests := []struct{ deadline, wait, retryAfter time.Duration }{
		{12 * time.Second, time.Second, time.Second},
		{2 * time.Second, 500 * time.Millisecond, 450 * time.Millisecond},
	}
	for _, test := range tests {
		startHarness(t, true, func(h *harness) {
			h.call.Deadline = time.Now().Add(test.deadline)
			began := time.Now()
			fault := h.serve()
			h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunNot))
			h.Expect(time.Since(began)).To(gomega.Equal(test.wait))
			h.Expect(fault.RetryAfter).To(gomega.Equal(test.retryAfter))
		})
	}
}

func TestUnknownRoute(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/nothing/1")
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeNotFound))
	})
}

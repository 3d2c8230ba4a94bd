package mangorelay

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
)

// announce passes on an announcement of a listed server.
func (h *harness) announce(id mangomodel.ServerID, leaves bool, backoff time.Duration) {
	server := h.fleet.View().Listed[id]
	h.fleet.Announced(mangolease.Announcement{Server: server.Ref(), Leaving: leaves, Backoff: backoff})
}

// TestAnnouncementInAnAnswerEndsTheUseOfItsServer guards against a retry, a resumption or
// a further call at a server that has just announced that it leaves, and against the end
// of what runs there.
func TestAnnouncementInAnAnswerEndsTheUseOfItsServer(t *testing.T) {
	tests := []struct {
		name, target string
		leaver       mangomodel.ServerID
		answer       step
		// first is what the client of the first call receives.
		first string
	}{
		{"plain call", "/call/1", "s1", step{body: "a"}, "a"},
		{"refused call", "/call/1", "s1", step{status: 503, notRun: true}, "b"},
		{"call without a whole answer", "/read/1", "s1", step{body: "a", aborted: true}, "b"},
		{"stream", "/once/1", "d1", step{events: events(1, 9)}, "123456789"},
		{"refused stream", "/once/1", "d1", step{status: 503, notRun: true}, "1234"},
		{"aborted stream", "/resume/1", "d1", step{events: events(1, 2), aborted: true}, "1234"},
		{"prefill", "/once/1", "p1", step{}, "1234"},
		{"failed prefill", "/once/1", "p1", step{err: errNoReply}, "1234"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.servers.announce = h.announce
				for _, id := range ids("d1", "d2") {
					h.servers.runs[id] = []step{{events: events(1, 4)}}
				}
				h.servers.runs["s2"] = []step{{body: "b"}}
				test.answer.leaves = true
				scripts := h.servers.runs
				if test.leaver == "p1" {
					scripts = h.servers.prefills
				}
				scripts[test.leaver] = []step{test.answer}
				for i := range 3 {
					h.newCall(test.target)
					h.client.body = ""
					h.Expect(h.serve()).To(gomega.BeNil())
					if i == 0 {
						h.Expect(h.client.body).To(gomega.Equal(test.first))
					}
					time.Sleep(5 * time.Second)
				}
				later := h.servers.sent[slices.Index(h.servers.sent, test.leaver)+1:]
				h.Expect(later).NotTo(gomega.ContainElement(test.leaver))
			})
		})
	}
}

// TestStreamResumesAtAServerThatStays guards against a stream that ends at once because
// its server and the next one announce that they leave.
func TestStreamResumesAtAServerThatStays(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.announce = h.announce
		h.newCall("/resume/1")
		h.servers.runs["d1"] = []step{{leaves: true, events: events(1, 2), aborted: true}}
		h.servers.runs["d2"] = []step{{leaves: true, status: 503, notRun: true}}
		h.servers.runs["d3"] = []step{{events: events(3, 4)}}
		time.AfterFunc(time.Second, func() { h.list(2, "d3") })
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("1234"))
		h.Expect(h.client.begun).To(gomega.Equal(1))
	})
}

// TestLeaseGrantedBeforeTheAnnouncementIsNotUsed guards against a call that is sent to
// its decode server although that server announced to another call that it leaves.
func TestLeaseGrantedBeforeTheAnnouncementIsNotUsed(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.prefills["p1"] = []step{{responseDelay: 100 * time.Millisecond}}
		h.servers.runs["d2"] = []step{{events: events(1, 2)}}
		time.AfterFunc(50*time.Millisecond, func() { h.announce("d1", true, 0) })
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d2")))
	})
}

// TestServerThatAskedForTimeGetsNothing guards against a call, a retry, a resumption or a
// prefill at a server within the time that it asked this daemon for.
func TestServerThatAskedForTimeGetsNothing(t *testing.T) {
	const asked = 3 * time.Second
	refusal := step{status: 503, notRun: true, backoff: asked}
	full := mangomodel.Faultf(mangomodel.StepPrefill, "", mangomodel.CodeOverloaded, mangomodel.RunNot, "status 503")
	tests := []struct {
		name, target string
		server       mangomodel.ServerID
		steps        []step
	}{
		{"plain call", "/call/1", "s1", []step{refusal, {body: "a"}}},
		{"retried call", "/read/1", "s1", []step{refusal, {body: "a"}}},
		{"stream", "/once/1", "d1", []step{refusal, {events: events(1, 4)}}},
		{"stream that resumes", "/resume/1", "d1", []step{{events: events(1, 2), backoff: asked, aborted: true}, {events: events(1, 4)}}},
		{"prefill", "/once/1", "p1", []step{{err: full, backoff: asked}, {}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.servers.announce = h.announce
				for _, id := range ids("d1", "d2") {
					h.servers.runs[id] = []step{{events: events(1, 4)}}
				}
				scripts := h.servers.runs
				if test.server == "p1" {
					scripts = h.servers.prefills
				}
				scripts[test.server] = test.steps
				began := time.Now()
				for time.Since(began) < asked+time.Second {
					h.newCall(test.target)
					h.Expect(h.serve()).To(gomega.BeNil())
					time.Sleep(200 * time.Millisecond)
				}
				var at []time.Duration
				for i, id := range h.servers.sent {
					if id == test.server {
						at = append(at, h.servers.sentAt[i].Sub(began))
					}
				}
				h.Expect(len(at)).To(gomega.BeNumerically(">", 2))
				h.Expect(at[1]).To(gomega.BeNumerically(">=", asked))
			})
		})
	}
}

// TestLeaseGrantedBeforeTheTimeIsReturned guards against a call that is sent to its decode
// server although that server asked another call's daemon, this one, for time since.
func TestLeaseGrantedBeforeTheTimeIsReturned(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.prefills["p1"] = []step{{responseDelay: 100 * time.Millisecond}}
		h.servers.runs["d2"] = []step{{events: events(1, 2)}}
		time.AfterFunc(50*time.Millisecond, func() { h.announce("d1", false, time.Second) })
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d2")))
	})
}

// TestCacheIsNotReleasedWithinTheTime guards against a release of an unused KV cache at a
// server that has asked for time.
func TestCacheIsNotReleasedWithinTheTime(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.announce = h.announce
		for _, id := range ids("d1", "d2") {
			h.servers.runs[id] = []step{{err: errNoConn}}
		}
		for _, id := range ids("p1", "p2") {
			h.servers.prefills[id] = []step{{backoff: time.Minute}}
		}
		h.Expect(h.serve()).NotTo(gomega.BeNil())
		synctest.Wait()
		h.Expect(h.servers.releasedCaches).To(gomega.BeEmpty())
	})
}

// TestStallIsNotQueriedWithinTheTime guards against a load query to a server that has
// asked for time, and against the end of its stream for lack of an answer.
func TestStallIsNotQueriedWithinTheTime(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/resume/1")
		h.servers.unreachable = map[mangomodel.ServerID]bool{"d1": true}
		h.servers.runs["d1"] = []step{{events: events(1, 3), pauseAfter: 1, pause: 1500 * time.Millisecond}}
		time.AfterFunc(50*time.Millisecond, func() { h.announce("d1", false, 10*time.Second) })
		h.servers.prefills["p1"] = []step{{responseDelay: 20 * time.Millisecond}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("123"))
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1")))
		h.Expect(h.servers.reports).To(gomega.BeZero())
	})
}

// TestServersThatAskForTimeDoNotLoseTheCache guards against a prompt that is computed again
// because two decode servers with spare capacity asked for time.
func TestServersThatAskForTimeDoNotLoseTheCache(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.announce = h.announce
		h.list(2, "d3")
		for id, steps := range map[mangomodel.ServerID][]step{
			"d1": {{status: 503, notRun: true, backoff: time.Minute}}, "d2": {{events: events(1, 2)}}, "d3": {{status: 503, notRun: true, backoff: time.Minute}},
		} {
			h.servers.runs[id] = steps
		}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.HaveLen(4))
		h.Expect(h.servers.sent[3]).To(gomega.BeEquivalentTo("d2"))
	})
}

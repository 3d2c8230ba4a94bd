package mangorelay

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
)

// announce announces that a listed server leaves.
func (h *harness) announce(id mangomodel.ServerID) {
	server := h.fleet.View().Listed[id]
	h.fleet.Announced(mangolease.Announcement{Server: server.Ref(), Leaving: true})
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
		time.AfterFunc(50*time.Millisecond, func() { h.announce("d1") })
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d2")))
	})
}

package mangorelay

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoending"
	"mangolane/core/mangomodel"
)

// TestCrashIsNoEndOfAnUnframedResponse guards against a response that a crash of its
// server has cut and that looks complete to the client, and against sound ones that are
// cut, run twice or delayed.
func TestCrashIsNoEndOfAnUnframedResponse(t *testing.T) {
	first := step{events: events(1, 3), unframed: true}
	empty := step{events: events(1, 0), unframed: true}
	body := step{body: "1", unframed: true}
	long := step{body: strings.Repeat("1", int(maxBufferedBody)+1), unframed: true}
	tests := []struct {
		name, target string
		first        step
		// ended servers refuse connections after the response, and silent ones reply late.
		ended  bool
		silent time.Duration
		body   string
		sent   []mangomodel.ServerID
	}{
		{"whole stream", "/once/1", first, false, 0, "123", ids("p1", "d1")},
		{"whole resumable stream", "/resume/1", first, false, 0, "123", ids("p1", "d1")},
		{"whole stream of a silent server", "/resume/1", first, false, 1500 * time.Millisecond, "123", ids("p1", "d1")},
		{"whole body", "/call/1", body, false, 0, "1", ids("s1")},
		{"whole body of a silent server", "/call/1", body, false, time.Minute, "1", ids("s1")},
		{"whole long body", "/call/1", long, false, 0, long.body, ids("s1")},
		{"cut stream", "/once/1", first, true, 0, "", ids("p1", "d1")},
		{"cut resumable stream", "/resume/1", first, true, 0, "12345", ids("p1", "d1", "p2", "d2")},
		{"stream of a server that stays silent", "/resume/1", first, false, time.Minute, "12345", ids("p1", "d1", "p2", "d2")},
		{"stream cut before its first event", "/once/1", empty, false, 0, "", ids("p1", "d1")},
		{"cut body", "/call/1", body, true, 0, "", ids("s1")},
		{"cut body of a call that can be repeated", "/read/1", body, true, 0, "2", ids("s1", "s2")},
		{"cut long body", "/read/1", long, true, 0, "", ids("s1")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.newCall(test.target)
				for _, id := range ids("d1", "s1") {
					h.servers.runs[id] = []step{test.first}
					h.servers.ended = map[mangomodel.ServerID]bool{"d1": test.ended, "s1": test.ended}
				}
				if test.silent > 0 {
					until := time.Now().Add(200*time.Millisecond + test.silent)
					h.servers.silentUntil = map[mangomodel.ServerID]time.Time{"d1": until, "s1": until}
				}
				h.servers.runs["d2"], h.servers.runs["s2"] = []step{{events: events(4, 5)}}, []step{{body: "2"}}
				fault := h.serve()
				h.Expect(h.servers.sent).To(gomega.Equal(test.sent))
				h.Expect(fault == nil).To(gomega.Equal(test.body != ""))
				if fault != nil {
					h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunUnknown))
					return
				}
				h.Expect(h.client.body).To(gomega.Equal(test.body))
				h.Expect(time.Since(h.call.Arrived)).To(gomega.BeNumerically("<", time.Second+mangoending.Patience))
			})
		})
	}
}

// TestUnframedCrashCountsForTheCallAndItsParts guards against calls and parts that crash
// one server after the other because the cut responses pass for whole ones.
func TestUnframedCrashCountsForTheCallAndItsParts(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.ended = map[mangomodel.ServerID]bool{"d1": true, "d2": true}
		for i, own := range []mangomodel.PartID{"o1", "o2"} {
			h.servers.runs["d1"] = []step{{events: events(1, 0), unframed: true}}
			h.servers.runs["d2"] = h.servers.runs["d1"]
			h.newPromptCall("deadly", own)
			h.call.Target = "/once/1"
			h.Expect(h.serve()).NotTo(gomega.BeNil())
			time.Sleep(time.Second)
			h.restart(uint64(i+2), "d1", "d2")
		}
		h.Expect(h.quarantined("deadly")).To(gomega.BeTrue())
		h.Expect(h.quarantined("o1")).To(gomega.BeFalse())
		for _, code := range []mangomodel.Code{mangomodel.CodeUnavailable, mangomodel.CodeQuarantined} {
			h.servers.runs["d1"] = []step{{events: events(1, 0), unframed: true}}
			h.servers.runs["d2"] = h.servers.runs["d1"]
			h.newCall("/once/1")
			h.Expect(h.serve().Code).To(gomega.Equal(code))
		}
	})
}

// TestServerThatAskedForTimeGetsNoQuery guards against a request to a server that wants
// none, at the end of a response that it sends meanwhile.
func TestServerThatAskedForTimeGetsNoQuery(t *testing.T) {
	for _, ended := range []bool{false, true} {
		withHarness(t, func(h *harness) {
			h.servers.ended = map[mangomodel.ServerID]bool{"d1": ended}
			h.servers.announce = h.announce
			h.servers.runs["d1"] = []step{{events: events(1, 3), unframed: true, backoff: time.Minute}}
			h.newCall("/once/1")
			h.Expect(h.serve() == nil).To(gomega.Equal(!ended))
			h.Expect(h.servers.reports).To(gomega.BeZero())
			h.Expect(h.servers.connects).To(gomega.Equal(1))
		})
	}
}

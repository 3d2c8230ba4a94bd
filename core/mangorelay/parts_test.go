package mangorelay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquarantine"
	"mangolane/core/mangotraffic"
)

func (h *harness) newPromptCall(parts ...mangomodel.PartID) {
	h.newCall("/resume/1")
	h.call.Parts = parts
}

// restart lists new incarnations of servers.
func (h *harness) restart(position uint64, list ...mangomodel.ServerID) {
	cmd := mangofleet.ChangeServers{Cursor: mangotraffic.Cursor{Position: position}}
	for _, id := range list {
		server := h.fleet.View().Listed[id]
		server.Born = time.Now()
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: id, Server: &server})
	}
	h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
}

// quarantine merges the verdict of another daemon.
func (h *harness) quarantine(part mangomodel.PartID) {
	v := mangoquarantine.Verdict{Part: part, Crashes: 3}
	cmd := mangofleet.MergeQuarantine{Message: mangoquarantine.Message{Verdicts: []mangoquarantine.Verdict{v}}}
	h.Expect(h.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
}

func (h *harness) quarantined(part mangomodel.PartID) bool {
	// A command publishes what has settled since the last one.
	h.Expect(h.fleet.Do(context.Background(), mangofleet.CallStarted{})).To(gomega.Succeed())
	return h.fleet.View().AdmitParts([]mangomodel.PartID{part}, time.Now()) != nil
}

// TestUnlikeCallsStopCrashingServers guards against calls that crash one server after the
// other because no two of them are alike.
func TestUnlikeCallsStopCrashingServers(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.unreachable = map[mangomodel.ServerID]bool{"d1": true, "d2": true}
		crashes := 0
		for i := range 12 {
			h.servers.sent = nil
			h.servers.runs["d1"], h.servers.runs["d2"] = []step{{err: errNoReply}}, []step{{err: errNoReply}}
			h.newPromptCall("shared", "deadly", mangomodel.PartID(fmt.Sprint("o", i)))
			h.call.Fingerprint = mangomodel.Fingerprint(i)
			h.serve()
			for _, id := range h.servers.sent {
				if id == "d1" || id == "d2" {
					crashes++
				}
			}
			time.Sleep(time.Second)
			h.restart(uint64(2*i+2), "d1", "d2")
			h.servers.runs["d1"], h.servers.runs["d2"] = []step{{events: events(1, 3)}}, []step{{events: events(1, 3)}}
			h.newPromptCall("shared", "sound")
			h.Expect(h.serve()).To(gomega.BeNil())
		}
		h.Expect(crashes).To(gomega.BeNumerically("<=", 4))
	})
}

// TestCrashesAtTheFirstEvent guards against parts that are blamed for what does not show
// that they crash servers, and against crashes that are not noticed.
func TestCrashesAtTheFirstEvent(t *testing.T) {
	tests := []struct {
		name    string
		step    step
		alive   bool
		prefill bool
		want    bool
	}{
		{"no response", step{err: errNoReply}, false, false, true},
		{"no response to a prefill", step{err: errNoReply}, false, true, true},
		{"head without an event", step{events: events(1, 0), aborted: true}, false, false, true},
		{"events before the crash", step{events: events(1, 3), aborted: true}, false, false, false},
		{"reset by a server that responds", step{err: errNoReply}, true, false, false},
		{"refused connection", step{err: errNoConn}, false, false, false},
		{"not run", step{status: 503, notRun: true}, false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.servers.unreachable = make(map[mangomodel.ServerID]bool)
				for _, id := range ids("p1", "p2", "d1", "d2") {
					h.servers.unreachable[id] = !test.alive
					if test.prefill {
						h.servers.prefills[id] = []step{test.step}
					} else {
						h.servers.runs[id] = []step{test.step}
					}
				}
				for i, own := range []mangomodel.PartID{"o1", "o2"} {
					h.newPromptCall("deadly", own)
					h.call.Target = "/once/1"
					h.serve()
					time.Sleep(time.Second)
					h.restart(uint64(i+2), "p1", "p2", "d1", "d2")
				}
				h.Expect(h.quarantined("deadly")).To(gomega.Equal(test.want))
				h.Expect(h.quarantined("o1")).To(gomega.BeFalse())
			})
		})
	}
}

// TestSilentPrefillIsNoCrash guards against parts that are blamed for a server that this
// daemon has left because it was silent.
func TestSilentPrefillIsNoCrash(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.unreachable = make(map[mangomodel.ServerID]bool)
		for i, own := range []mangomodel.PartID{"o1", "o2"} {
			for _, id := range ids("p1", "p2") {
				h.servers.prefills[id], h.servers.unreachable[id] = []step{hang}, true
			}
			h.newPromptCall("sound", own)
			h.serve()
			time.Sleep(time.Second)
			h.restart(uint64(i+2), "p1", "p2")
		}
		h.Expect(h.quarantined("sound")).To(gomega.BeFalse())
	})
}

// TestErrorResponseIsNoStart guards against a part that comes free because a server that
// did not begin to generate returned an error.
func TestErrorResponseIsNoStart(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.servers.runs["d1"] = []step{{status: 500, body: "no memory"}}
		h.newPromptCall("deadly")
		h.Expect(h.serve()).To(gomega.BeNil())
		h.quarantine("deadly")
		h.Expect(h.quarantined("deadly")).To(gomega.BeTrue())
	})
}

// TestQuarantinedCallReachesNoServer guards against a quarantine that holds for new calls
// only: one may come while a call is prefilled or waits at an engine.
func TestQuarantinedCallReachesNoServer(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		sent  []mangomodel.ServerID
	}{
		{"before", 0, nil},
		{"while it is prefilled", 10 * time.Millisecond, ids("p1")},
		{"while it waits", 100 * time.Millisecond, ids("p1", "d1")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.servers.runs["d1"] = []step{{err: errNoReply, responseDelay: time.Second}}
				h.newPromptCall("deadly")
				if test.after == 0 {
					h.quarantine("deadly")
				}
				time.AfterFunc(max(test.after, time.Millisecond), func() { h.quarantine("deadly") })
				fault := h.serve()
				h.Expect(time.Since(h.call.Arrived)).To(gomega.BeNumerically("<=", test.after+partsInterval))
				h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeQuarantined))
				h.Expect(fault.Run == mangomodel.RunNot).To(gomega.Equal(len(test.sent) < 2))
				h.Expect(fault.RetryAfter > 0).To(gomega.Equal(len(test.sent) < 2))
				h.Expect(h.servers.sent).To(gomega.Equal(test.sent))
				h.newPromptCall("sound")
				h.Expect(h.serve()).To(gomega.BeNil())
			})
		})
	}
}

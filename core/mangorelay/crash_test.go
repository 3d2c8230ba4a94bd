package mangorelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobroker"
	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
)

// refuse makes the fleet refuse the call of newCall.
func (h *harness) refuse() {
	for i := range mangocrash.MaxCrashes {
		h.Expect(h.fleet.Do(context.Background(), mangofleet.CallAborted{Call: 7, Server: mangocrash.Incarnation(i)})).To(gomega.Succeed())
	}
}

// fill leases all slots of the app service and returns a function that releases them.
func (h *harness) fill() func() {
	var leases []mangolease.ID
	for i := range 1000 {
		id := mangolease.ID{Holder: mangomodel.Holder{Daemon: "d"}, Number: uint64(1000 + i)}
		if h.fleet.Do(context.Background(), mangofleet.Acquire{Lease: id, Demand: mangolease.Demand{Service: "app"}}) != nil {
			break
		}
		leases = append(leases, id)
	}
	return func() {
		for _, id := range leases {
			h.Expect(h.fleet.Do(context.Background(), mangofleet.Release{Lease: id})).To(gomega.Succeed())
		}
	}
}

// TestRefusedCallReachesNoServer guards against a refusal that holds for new calls only:
// others wait for a server or are prefilled when their call is found to crash servers.
func TestRefusedCallReachesNoServer(t *testing.T) {
	tests := []struct {
		name, target string
		after        time.Duration
		full         bool
		sent         []mangomodel.ServerID
	}{
		{"before", "/read/", 0, false, nil},
		{"while it waits for a server", "/read/", 50 * time.Millisecond, true, nil},
		{"while it is prefilled", "/resume/", 10 * time.Millisecond, false, ids("p1")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				release := func() {}
				if test.full {
					release = h.fill()
				}
				if test.after == 0 {
					h.refuse()
				}
				time.AfterFunc(max(test.after, time.Millisecond), func() {
					h.refuse()
					release()
				})
				h.newCall(test.target)
				fault := h.serve()
				h.Expect(fault).NotTo(gomega.BeNil())
				h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeQuarantined))
				h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunNot))
				h.Expect(fault.RetryAfter).To(gomega.BeNumerically(">", mangocrash.FirstProbe-time.Second))
				h.Expect(h.servers.sent).To(gomega.Equal(test.sent))
			})
		})
	}
}

// TestProbeIsSentOnce guards against a probe whose call is sent to a second server after it
// has crashed the first, and against one that shows nothing.
func TestProbeIsSentOnce(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.refuse()
		time.Sleep(mangocrash.FirstProbe)
		for _, id := range ids("s1", "s2") {
			h.servers.runs[id] = []step{{err: errNoReply}, {body: "a"}}
		}
		h.newCall("/read/")
		h.Expect(h.serve().Run).To(gomega.Equal(mangomodel.RunUnknown))
		h.Expect(h.servers.sent).To(gomega.HaveLen(1))
		time.Sleep(2 * mangocrash.FirstProbe)
		h.newCall("/read/")
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeQuarantined))
		h.Expect(h.servers.sent).To(gomega.HaveLen(1))
		time.Sleep(6 * mangocrash.FirstProbe)
		h.servers.runs["s1"], h.servers.runs["s2"] = nil, nil
		for range 3 {
			h.newCall("/read/")
			h.Expect(h.serve()).To(gomega.BeNil())
		}
	})
}

// TestCallThatCompletesIsServed guards against a call that comes often and is refused for
// resets that it met now and then, also if what it asks for does not exist, and against a
// server error that hides crashes.
func TestCallThatCompletesIsServed(t *testing.T) {
	for _, status := range []int{200, 404, 500} {
		withHarness(t, func(h *harness) {
			var last *mangomodel.Fault
			for range 8 {
				h.servers.runs["s1"] = []step{{err: errNoReply}, {status: status, body: "a"}}
				h.servers.runs["s2"] = h.servers.runs["s1"]
				for range 2 {
					h.newCall("/call/")
					last = h.serve()
					time.Sleep(3 * time.Second)
				}
			}
			h.Expect(last == nil).To(gomega.Equal(status != 500), "%v", last)
		})
	}
}

// TestDaemonRemembersItsProbe guards against a probe that only the scheduler that granted it
// knows of, which may end in the same moment.
func TestDaemonRemembersItsProbe(t *testing.T) {
	withHarness(t, func(h *harness) {
		own := h.fleet
		self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "e"}, DataCentre: "a1", Strong: true}
		h.fleet = mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go h.fleet.Run(ctx)
		h.configure()
		h.refuse()
		h.relay = New(own, mangobroker.New(self, h.fleet, nil), h.servers)
		h.fleet = own
		h.refuse()
		time.Sleep(mangocrash.FirstProbe)
		h.servers.runs["s1"] = []step{{status: 500}}
		h.servers.runs["s2"] = h.servers.runs["s1"]
		h.newCall("/call/")
		h.Expect(h.serve()).To(gomega.BeNil())
		_, err := own.View().AdmitCall(7, time.Now())
		h.Expect(err).To(gomega.HaveOccurred())
	})
}

// TestProbeIsSavedBeforeItIsSent guards against a probe that daemons that start anew together
// do not know of, so that they send the call again.
func TestProbeIsSavedBeforeItIsSent(t *testing.T) {
	tests := []struct {
		name  string
		after func(f *mangofleet.Fleet) mangofleet.Command
		sent  bool
	}{
		{"saved", func(f *mangofleet.Fleet) mangofleet.Command {
			return mangofleet.CrashesSaved{Saved: f.View().UnsavedCrashes()}
		}, true},
		{"not saved", func(*mangofleet.Fleet) mangofleet.Command { return mangofleet.CrashesNotSaved{} }, false},
		{"no outcome", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "e"}, DataCentre: "a1", Strong: true}
				h.fleet = mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits {
					return mangobudget.Limits{Window: time.Second}
				}, mangofleet.WithSavedCrashes())
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go h.fleet.Run(ctx)
				h.configure()
				h.relay = New(h.fleet, mangobroker.New(self, h.fleet, nil), h.servers)
				h.refuse()
				h.Expect(h.fleet.Do(ctx, mangofleet.CrashesSaved{Saved: h.fleet.View().UnsavedCrashes(), Written: true})).To(gomega.Succeed())
				time.Sleep(mangocrash.FirstProbe)
				if test.after != nil {
					time.AfterFunc(10*time.Millisecond, func() { h.Expect(h.fleet.Do(ctx, test.after(h.fleet))).To(gomega.Succeed()) })
				}
				h.newCall("/read/")
				fault := h.serve()
				// The command has its reply before the fleet ends.
				synctest.Wait()
				h.Expect(len(h.servers.sent) > 0).To(gomega.Equal(test.sent))
				if test.sent {
					h.Expect(fault).To(gomega.BeNil())
					return
				}
				h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeQuarantined))
				h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunNot))
				h.Expect(fault.RetryAfter).To(gomega.BeNumerically(">", 0))
				h.Expect(h.fleet.View().Leases).To(gomega.BeZero())
			})
		})
	}
}

// TestCrashesInPrefillsCount guards against a call that crashes a prefill server with each
// retry without end, since a prefill is no run of the call. A prefill that failed at a server
// that still responds is no crash.
func TestCrashesInPrefillsCount(t *testing.T) {
	for _, crashed := range []bool{true, false} {
		withHarness(t, func(h *harness) {
			var last *mangomodel.Fault
			h.servers.unreachable = make(map[mangomodel.ServerID]bool)
			for range 6 {
				for _, id := range ids("p1", "p2") {
					h.servers.prefills[id] = []step{{err: errNoReply}}
					h.servers.unreachable[id] = crashed
				}
				for _, id := range ids("d1", "d2") {
					h.servers.runs[id] = []step{{status: 500}}
				}
				h.newCall("/resume/")
				last = h.serve()
				time.Sleep(3 * time.Second)
			}
			prefills := 0
			for _, id := range h.servers.sent {
				if id == "p1" || id == "p2" {
					prefills++
				}
			}
			h.Expect(mangomodel.HasCode(last, mangomodel.CodeQuarantined)).To(gomega.Equal(crashed), "%v after %d prefills", last, prefills)
			if crashed {
				h.Expect(prefills).To(gomega.Equal(mangocrash.MaxCrashes))
			}
		})
	}
}

// TestProbeThatReachesNoServerDoesNotCount guards against a sound call that is refused for
// good, because its probes met servers that could not be reached. One that a server rejects
// has reached it.
func TestProbeThatReachesNoServerDoesNotCount(t *testing.T) {
	for _, test := range []struct {
		name, target string
		step         step
		served       bool
	}{
		{"unreachable", "/read/", step{err: errNoConn}, true},
		{"unreachable, stream", "/resume/", step{err: errNoConn}, true},
		{"rejected", "/read/", step{notRun: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.refuse()
				wait := mangocrash.FirstProbe
				for range mangocrash.MaxProbes {
					time.Sleep(wait)
					wait *= 6
					for _, id := range ids("s1", "s2", "d1", "d2") {
						h.servers.runs[id] = []step{test.step}
					}
					for _, id := range ids("p1", "p2") {
						h.servers.prefills[id] = []step{test.step}
					}
					h.newCall(test.target)
					fault := h.serve()
					h.Expect(fault).NotTo(gomega.BeNil())
					h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunNot))
				}
				clear(h.servers.runs)
				clear(h.servers.prefills)
				time.Sleep(wait)
				h.newCall(test.target)
				fault := h.serve()
				h.Expect(fault == nil).To(gomega.Equal(test.served), "%v", fault)
			})
		})
	}
}

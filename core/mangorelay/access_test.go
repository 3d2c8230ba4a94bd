package mangorelay

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// install puts a configuration in force in which each workspace has one key.
func (h *harness) install(rev mangomodel.Revision, keys map[mangomodel.WorkspaceID]string, public ...mangotraffic.RouteName) {
	var list []mangoworkspace.Workspace
	for id, key := range keys {
		list = append(list, mangoworkspace.Workspace{ID: id, Keys: []mangoworkspace.Digest{mangoworkspace.DigestOf(key)}})
	}
	directory, problems := mangoworkspace.NewDirectory(list)
	h.Expect(problems).To(gomega.BeEmpty())
	d := h.fleet.View().Routing.Document()
	d.Revision = rev
	for i := range d.Routes {
		for _, name := range public {
			d.Routes[i].Public = d.Routes[i].Public || d.Routes[i].Name == name
		}
	}
	r, err := mangotraffic.NewRouting(rev, d.Routes, d.Services, d.Limits, mangotraffic.WithWorkspaces(directory))
	h.Expect(err).NotTo(gomega.HaveOccurred())
	h.Expect(h.fleet.Do(context.Background(), mangofleet.InstallRouting{Routing: r})).To(gomega.Succeed())
}

func (h *harness) newCallWith(target, key string) {
	h.newCall(target)
	h.call.Key, h.call.HasKey = mangoworkspace.DigestOf(key), key != ""
}

// fillEngines leases all slots of the engines and returns a function that releases them.
func (h *harness) fillEngines() func() {
	var leases []mangolease.ID
	for i := range 1000 {
		id := mangolease.ID{Holder: mangomodel.Holder{Daemon: "d"}, Number: uint64(5000 + i)}
		d := mangolease.Demand{Service: "llm", Generation: &mangotraffic.Generation{Prompt: 100, MaxOutput: 100}}
		if h.fleet.Do(context.Background(), mangofleet.Acquire{Lease: id, Demand: d}) != nil {
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

type keysOf = map[mangomodel.WorkspaceID]string

// TestKeyDecidesTheWorkspace guards against calls that reach a server without a workspace.
func TestKeyDecidesTheWorkspace(t *testing.T) {
	tests := []struct {
		name, target, key string
		code              mangomodel.Code
		workspace         mangomodel.WorkspaceID
	}{
		{"known", "/read/", "a", -1, "wa"},
		{"known, stream", "/resume/", "a", -1, "wa"},
		{"unknown", "/read/", "x", mangomodel.CodeUnauthorised, ""},
		{"missing", "/resume/", "", mangomodel.CodeUnauthorised, ""},
		{"public", "/call/", "", -1, ""},
		{"unknown route first", "/nowhere/", "", mangomodel.CodeNotFound, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.install(2, keysOf{"wa": "a", "wb": "b"}, "call")
				h.servers.runs["d1"] = []step{{events: events(1, 2)}}
				h.newCallWith(test.target, test.key)
				fault := h.serve()
				if test.code >= 0 {
					h.Expect(fault.Code).To(gomega.Equal(test.code))
					h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunNot))
					h.Expect(fault.RetryAfter).To(gomega.BeZero())
					h.Expect(time.Since(h.call.Arrived)).To(gomega.BeZero())
					h.Expect(h.servers.sent).To(gomega.BeEmpty())
					return
				}
				h.Expect(fault).To(gomega.BeNil())
				h.Expect(h.call.Restricted).To(gomega.BeTrue())
				h.Expect(h.call.Workspace).To(gomega.Equal(test.workspace))
			})
		})
	}
}

// TestKeyIsCheckedBeforeEachSend guards against a key that still works for calls that
// waited or were prefilled when it was removed, and against a workspace that a moved key
// no longer belongs to.
func TestKeyIsCheckedBeforeEachSend(t *testing.T) {
	tests := []struct {
		name, target string
		full         bool
		after        keysOf
		// refused is set if the call gets 401, and sent is the number of requests to
		// servers.
		refused   bool
		sent      int
		workspace mangomodel.WorkspaceID
	}{
		{"removed in the queue", "/read/", true, keysOf{"wb": "b"}, true, 0, "wa"},
		{"moved in the queue", "/read/", true, keysOf{"wb": "a"}, false, 1, "wb"},
		{"kept in the queue", "/read/", true, keysOf{"wa": "a"}, false, 1, "wa"},
		{"removed in the queue of engines", "/resume/", true, keysOf{"wb": "b"}, true, 0, "wa"},
		{"removed during the prefill", "/resume/", false, keysOf{}, true, 1, "wa"},
		{"moved during the prefill", "/resume/", false, keysOf{"wb": "a"}, false, 2, "wb"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.install(2, keysOf{"wa": "a"})
				h.servers.runs["d1"] = []step{{events: events(1, 2)}}
				last := &lastResult{}
				h.relay.observer = last
				release := func() {}
				if test.full {
					app, llm := h.fill(), h.fillEngines()
					release = func() { app(); llm() }
				}
				time.AfterFunc(10*time.Millisecond, func() {
					h.install(3, test.after)
					release()
				})
				h.newCallWith(test.target, "a")
				fault := h.serve()
				h.Expect(h.servers.sent).To(gomega.HaveLen(test.sent))
				h.Expect(h.call.Workspace).To(gomega.Equal(test.workspace))
				h.Expect(fault != nil).To(gomega.Equal(test.refused))
				if test.refused {
					h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeUnauthorised))
					h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunNot))
					h.Expect(fault.RetryAfter).To(gomega.BeZero())
					h.Expect(last.result.Attempts).To(gomega.BeEquivalentTo(1), "no second lease")
				}
			})
		})
	}
}

// TestKeyAddedBetweenCalls guards against keys that work for calls of a kept
// connection only once its client has connected anew: each call is checked by itself.
func TestKeyAddedBetweenCalls(t *testing.T) {
	withHarness(t, func(h *harness) {
		for i, keys := range []keysOf{{"wa": "a"}, {}, {"wa": "a"}} {
			h.install(mangomodel.Revision(i+2), keys)
			h.newCallWith("/read/", "a")
			fault := h.serve()
			h.Expect(fault == nil).To(gomega.Equal(len(keys) > 0))
		}
	})
}

// TestBegunStreamContinues guards against a stream that ends within because its key was
// removed, also if it continues at another server.
func TestBegunStreamContinues(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.install(2, keysOf{"wa": "a"})
		h.servers.runs["d1"] = []step{{events: events(1, 3), aborted: true}}
		h.servers.runs["d2"] = []step{{events: events(4, 5)}}
		time.AfterFunc(100*time.Millisecond, func() { h.install(3, keysOf{}) })
		h.newCallWith("/resume/", "a")
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("12345"))
		h.Expect(h.call.Workspace).To(gomega.BeEquivalentTo("wa"))
	})
}

// TestRetryOfARunCallNeedsItsKey guards against a call that a server may have run and that
// is told not to have run when its key is gone before the retry.
func TestRetryOfARunCallNeedsItsKey(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.install(2, keysOf{"wa": "a"})
		h.servers.runs["s1"] = []step{{err: errNoReply, responseDelay: 20 * time.Millisecond}}
		time.AfterFunc(10*time.Millisecond, func() { h.install(3, keysOf{}) })
		h.newCallWith("/read/", "a")
		fault := h.serve()
		h.Expect(h.servers.sent).To(gomega.Equal(ids("s1")))
		h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunUnknown))
	})
}

// TestUnconfirmedConfiguration guards against a final refusal of a key that was added
// while this daemon was cut off, and against a refusal of a key that it knows.
func TestUnconfirmedConfiguration(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.install(2, keysOf{"wa": "a"})
		time.Sleep(time.Minute)
		delays := make(map[time.Duration]bool)
		for range 20 {
			h.newCallWith("/read/", "new")
			fault := h.serve()
			h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeUnavailable))
			h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunNot))
			h.Expect(fault.RetryAfter).To(gomega.BeNumerically("~", 3*otherDaemonDelay/2, otherDaemonDelay/2))
			delays[fault.RetryAfter] = true
		}
		h.Expect(len(delays)).To(gomega.BeNumerically(">", 10), "clients do not return together")
		h.newCallWith("/nowhere/", "new")
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeNotFound))
		h.newCallWith("/read/", "a")
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.fleet.Do(context.Background(), mangofleet.RoutingConfirmed{Revision: 2})).To(gomega.Succeed())
		h.newCallWith("/read/", "new")
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeUnauthorised))
	})
}

// TestWorkspacesRemovedWhileACallWaits guards against a key that is forwarded because the
// configuration has no workspaces any more when the call is sent.
func TestWorkspacesRemovedWhileACallWaits(t *testing.T) {
	withHarness(t, func(h *harness) {
		plain := h.fleet.View().Routing.Document()
		h.install(2, keysOf{"wa": "a"})
		release := h.fill()
		time.AfterFunc(10*time.Millisecond, func() {
			r, err := mangotraffic.NewRouting(3, plain.Routes, plain.Services, plain.Limits)
			h.Expect(err).NotTo(gomega.HaveOccurred())
			h.Expect(h.fleet.Do(context.Background(), mangofleet.InstallRouting{Routing: r})).To(gomega.Succeed())
			release()
		})
		h.newCallWith("/read/", "a")
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.call.Restricted).To(gomega.BeTrue())
	})
}

// TestAccessIsCheckedBeforeTheBody guards against a refusal that nobody records, and
// against one where the configuration has no workspaces or no such route.
func TestAccessIsCheckedBeforeTheBody(t *testing.T) {
	withHarness(t, func(h *harness) {
		last := &lastResult{}
		h.relay.observer = last
		h.newCallWith("/read/", "x")
		h.Expect(h.relay.CheckAccess(h.call)).To(gomega.Succeed())
		h.install(2, keysOf{"wa": "a"})
		h.Expect(mangomodel.HasCode(h.relay.CheckAccess(h.call), mangomodel.CodeUnauthorised)).To(gomega.BeTrue())
		h.Expect(last.result.Call).To(gomega.Equal(h.call))
		h.Expect(last.result.Route.Name).To(gomega.BeEquivalentTo("read"))
		h.newCallWith("/nowhere/", "x")
		h.Expect(h.relay.CheckAccess(h.call)).To(gomega.Succeed())
		h.newCallWith("/read/", "a")
		h.Expect(h.relay.CheckAccess(h.call)).To(gomega.Succeed())
	})
}

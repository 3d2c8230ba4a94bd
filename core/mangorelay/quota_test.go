package mangorelay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquota"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// limit installs a configuration that limits a workspace, and waits until its bucket is full.
func (h *harness) limit(l mangoworkspace.Limit) {
	dir, problems := mangoworkspace.NewDirectory([]mangoworkspace.Workspace{
		{ID: "acme", Keys: []mangoworkspace.Digest{keyOf("acme")}, Limit: l}, {ID: "free", Keys: []mangoworkspace.Digest{keyOf("free")}},
	})
	h.Expect(problems).To(gomega.BeEmpty())
	document := h.fleet.View().Routing.Document()
	routing, err := mangotraffic.NewRouting(2, document.Routes, document.Services, document.Limits, mangotraffic.WithWorkspaces(dir))
	h.Expect(err).NotTo(gomega.HaveOccurred())
	h.Expect(h.fleet.Do(context.Background(), mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
	time.Sleep(3 * time.Second)
}

// keyOf returns the digest of the key that a workspace has in these tests.
func keyOf(id mangomodel.WorkspaceID) mangoworkspace.Digest {
	return mangoworkspace.DigestOf(string(id))
}

func (h *harness) serveFor(id mangomodel.WorkspaceID, target string) *mangomodel.Fault {
	h.newCall(target)
	h.call.Key, h.call.HasKey = keyOf(id), true
	return h.serve()
}

// TestCallBeyondTheQuotaIsRefused guards against a call that runs beyond its workspace's
// quota, and against one of another workspace that is refused for it.
func TestCallBeyondTheQuotaIsRefused(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.limit(mangoworkspace.Limit{Rate: 1, Burst: 2})
		h.Expect(h.serveFor("acme", "/call/")).To(gomega.BeNil())
		h.Expect(h.serveFor("acme", "/call/")).To(gomega.BeNil())
		began := time.Now()
		f := h.serveFor("acme", "/call/")
		h.Expect(f).NotTo(gomega.BeNil())
		h.Expect(time.Since(began)).To(gomega.BeNumerically("<=", mangoquota.AskTime))
		h.Expect(f.Code).To(gomega.Equal(mangomodel.CodeQuotaExceeded))
		h.Expect(f.Run).To(gomega.Equal(mangomodel.RunNot))
		h.Expect(f.RetryAfter).To(gomega.BeNumerically(">", 0))
		var r *mangoquota.Refusal
		h.Expect(errors.As(f, &r)).To(gomega.BeTrue(), "the log line has the figures")
		h.Expect(r.Workspace).To(gomega.Equal(mangomodel.WorkspaceID("acme")))
		h.Expect(h.serveFor("free", "/call/")).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.HaveLen(3))
	})
}

// TestStatedTokensAreCharged guards against a plain call that is charged as the generation
// that is assumed of it, and against a generation that is charged by the size of its body.
func TestStatedTokensAreCharged(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.limit(mangoworkspace.Limit{Unit: mangoworkspace.UnitTokens, Rate: 1, Burst: 250, PlainTokens: 60})
		time.Sleep(250 * time.Second)
		h.Expect(h.serveFor("acme", "/call/")).To(gomega.BeNil(), "200 of 250 tokens")
		h.newCall("/call/")
		h.call.Key, h.call.HasKey, h.call.Generation = keyOf("acme"), true, nil
		h.Expect(h.serve().Code).To(gomega.Equal(mangomodel.CodeQuotaExceeded), "60 of 50 tokens")
		time.Sleep(20 * time.Second)
		h.newCall("/once/")
		h.call.Key, h.call.HasKey, h.call.Generation = keyOf("acme"), true, nil
		h.Expect(mangomodel.HasCode(h.relay.Serve(context.Background(), h.call, h.client), mangomodel.CodeQuotaExceeded)).To(gomega.BeFalse(),
			"an engine is assumed to generate thousands of tokens, which the client hasn't stated")
	})
}

// TestRetryIsNotCharged guards against a call whose retry at a second server takes the
// quota of another call.
func TestRetryIsNotCharged(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.limit(mangoworkspace.Limit{Rate: 0.5, Burst: 2})
		time.Sleep(4 * time.Second)
		h.servers.runs["s1"] = []step{{err: errReset}, {}}
		h.servers.runs["s2"] = []step{{err: errReset}, {}}
		_ = h.serveFor("acme", "/read/")
		h.Expect(len(h.servers.sent)).To(gomega.BeNumerically(">=", 2), "it was retried")
		h.Expect(h.serveFor("acme", "/call/")).To(gomega.BeNil(), "one of two calls is left")
		h.Expect(h.serveFor("acme", "/call/").Code).To(gomega.Equal(mangomodel.CodeQuotaExceeded))
	})
}

// TestResumedCallWaitsForItsQuota guards against a stream that is lost because its
// workspace's quota is free only a moment later.
func TestResumedCallWaitsForItsQuota(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.limit(mangoworkspace.Limit{Rate: 1, Burst: 1})
		resume := func() *mangomodel.Fault {
			h.newCall("/feed/")
			h.call.Key, h.call.HasKey, h.call.LastEventID = keyOf("acme"), true, 2
			return h.serve()
		}
		h.servers.runs["s1"] = []step{{events: events(3, 4)}}
		h.servers.runs["s2"] = []step{{events: events(3, 4)}}
		h.Expect(h.serveFor("acme", "/call/")).To(gomega.BeNil())
		h.Expect(h.serveFor("acme", "/call/").Code).To(gomega.Equal(mangomodel.CodeQuotaExceeded))
		began := time.Now()
		h.Expect(resume()).To(gomega.BeNil())
		h.Expect(time.Since(began)).To(gomega.BeNumerically("<=", resumedQuotaTime))
		h.limit(mangoworkspace.Limit{Rate: 0.1, Burst: 1})
		time.Sleep(10 * time.Second)
		h.Expect(h.serveFor("acme", "/call/")).To(gomega.BeNil())
		began = time.Now()
		h.Expect(resume().Code).To(gomega.Equal(mangomodel.CodeQuotaExceeded), "the quota is free too late")
		h.Expect(time.Since(began)).To(gomega.BeNumerically("<=", resumedQuotaTime))
	})
}

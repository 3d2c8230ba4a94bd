package mangorelay

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
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

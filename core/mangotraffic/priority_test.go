package mangotraffic

import (
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangoworkspace"
)

// TestPriorityOfWorkspaceGoesFirst guards against a body that is read, or a call that is
// queued, by the route's priority although the workspace has one.
func TestPriorityOfWorkspaceGoesFirst(t *testing.T) {
	urgent := mangoworkspace.DigestOf("u")
	directory, _ := mangoworkspace.NewDirectory([]mangoworkspace.Workspace{
		{ID: "urgent", Keys: []mangoworkspace.Digest{urgent}, Priority: 0, HasPriority: true}, {ID: "plain", Priority: 9},
	})
	tests := []struct {
		name string
		call Call
		want Priority
	}{
		{"priority of the workspace, also 0", Call{Workspace: "urgent"}, 0},
		{"workspace without one", Call{Workspace: "plain"}, 4},
		{"workspace not determined yet", Call{Key: urgent, HasKey: true}, 0},
		{"unknown key", Call{HasKey: true}, 4},
		{"unknown workspace", Call{Workspace: "x"}, 4},
		{"no workspace", Call{}, 4},
	}
	for _, test := range tests {
		g := gomega.NewWithT(t)
		for _, workspaces := range []*mangoworkspace.Directory{directory, nil} {
			r, err := NewRouting(1, []Route{{Name: "r", Prefix: "/", Priority: 4, Targets: []Target{{Service: "s"}}}}, []Service{{Name: "s"}}, Limits{}, WithWorkspaces(workspaces))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			route, _ := r.Match("", "/")
			want := test.want
			if workspaces == nil {
				want = 4
			}
			g.Expect(r.CallPriority(route, &test.call)).To(gomega.Equal(want), test.name)
			// The scheduler of a queued call knows the name of its route only.
			p, ok := r.Priority("r", "plain")
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(p).To(gomega.BeEquivalentTo(4))
			_, ok = r.Priority("removed", "plain")
			g.Expect(ok).To(gomega.BeFalse())
		}
	}
}

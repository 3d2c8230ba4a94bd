package mangoaccess

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

const bound = time.Second

func routing(t *testing.T, workspaces *mangoworkspace.Directory) *mangotraffic.Routing {
	r, err := mangotraffic.NewRouting(3, nil, nil, mangotraffic.Limits{}, mangotraffic.WithWorkspaces(workspaces))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

func directory(n int) *mangoworkspace.Directory {
	list := make([]mangoworkspace.Workspace, n)
	for i := range list {
		id := fmt.Sprintf("w%d", i)
		list[i] = mangoworkspace.Workspace{ID: mangomodel.WorkspaceID(id), Keys: []mangoworkspace.Digest{mangoworkspace.DigestOf("key of " + id)}}
	}
	d, _ := mangoworkspace.NewDirectory(list)
	return d
}

// TestDecisions guards against calls that run for nobody, against a refusal of known keys
// while the configuration cannot be confirmed, and against a final refusal of a key that
// may have been added meanwhile.
func TestDecisions(t *testing.T) {
	const ok = mangomodel.Code(-1)
	tests := []struct {
		name        string
		unlimited   bool
		workspaces  int
		public      bool
		key         string
		age         time.Duration
		code        mangomodel.Code
		want        mangomodel.WorkspaceID
		unprotected bool
	}{
		{name: "known key", workspaces: 2, key: "key of w1", code: ok, want: "w1"},
		{name: "known key, not confirmed", workspaces: 2, key: "key of w1", age: 2 * bound, code: ok, want: "w1"},
		{name: "unknown key", workspaces: 2, key: "other", code: mangomodel.CodeUnauthorised},
		{name: "unknown key at the bound", workspaces: 2, key: "other", age: bound, code: mangomodel.CodeUnauthorised},
		{name: "unknown key, not confirmed", workspaces: 2, key: "other", age: 2 * bound, code: mangomodel.CodeUnavailable},
		{name: "no key", workspaces: 2, code: mangomodel.CodeUnauthorised},
		{name: "no key, not confirmed", workspaces: 2, age: 2 * bound, code: mangomodel.CodeUnauthorised},
		{name: "empty list", key: "key of w1", code: mangomodel.CodeUnauthorised},
		{name: "public without a key", workspaces: 2, public: true, code: ok},
		{name: "public with a known key", workspaces: 2, public: true, key: "key of w0", code: ok, want: "w0"},
		{name: "public with an unknown key", workspaces: 2, public: true, key: "other", code: ok},
		{name: "no workspaces", unlimited: true, key: "other", code: ok, unprotected: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var workspaces *mangoworkspace.Directory
			if !test.unlimited {
				workspaces = directory(test.workspaces)
			}
			d, err := Decide(Request{
				Routing: routing(t, workspaces), Route: &mangotraffic.Route{Name: "r", Public: test.public},
				Key: mangoworkspace.DigestOf(test.key), HasKey: test.key != "", Age: test.age, MaxAge: bound,
			})
			if test.code == ok {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(d).To(gomega.Equal(Decision{Restricted: !test.unprotected, Workspace: test.want}))
				return
			}
			f := mangomodel.AsFault(err, mangomodel.StepCall)
			g.Expect(f.Code).To(gomega.Equal(test.code))
			g.Expect(f.Run).To(gomega.Equal(mangomodel.RunNot))
			g.Expect(err.Error()).NotTo(gomega.ContainSubstring(mangoworkspace.DigestOf(test.key).String()))
		})
	}
}

// BenchmarkDecide measures a decision among the workspaces of the target load.
func BenchmarkDecide(b *testing.B) {
	r, _ := mangotraffic.NewRouting(1, nil, nil, mangotraffic.Limits{}, mangotraffic.WithWorkspaces(directory(260)))
	req := Request{Routing: r, Route: &mangotraffic.Route{}, Key: mangoworkspace.DigestOf("key of w259"), HasKey: true}
	for b.Loop() {
		if _, err := Decide(req); err != nil {
			b.Fatal(err)
		}
	}
}

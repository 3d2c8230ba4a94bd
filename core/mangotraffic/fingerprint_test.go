package mangotraffic

import (
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoworkspace"
)

// TestFingerprintOfACall guards against calls of different callers, or for different
// content, that are taken for retries of one call, and against retries that are not.
func TestFingerprintOfACall(t *testing.T) {
	type change func(*Call)
	key := func(key string) change {
		return func(c *Call) { c.Key, c.HasKey = mangoworkspace.DigestOf(key), true }
	}
	workspace := func(id mangomodel.WorkspaceID) change { return func(c *Call) { c.Workspace = id } }
	fingerprint := func(changes ...change) mangomodel.Fingerprint {
		c := &Call{ID: "1", Method: "POST", Host: "x", Target: "/a", Body: Body{[]byte("body")}}
		for _, apply := range changes {
			apply(c)
		}
		c.Content = HashContent(c)
		c.Identify()
		return c.Fingerprint
	}
	tests := []struct {
		name string
		a, b []change
		same bool
	}{
		{"attempt", nil, []change{func(c *Call) { c.ID = "2" }}, true},
		{"body in pieces", nil, []change{func(c *Call) { c.Body = Body{[]byte("bo"), []byte("dy")} }}, true},
		{"body", nil, []change{func(c *Call) { c.Body = Body{[]byte("other")} }}, false},
		{"target", nil, []change{func(c *Call) { c.Target = "/b" }}, false},
		{"method", nil, []change{func(c *Call) { c.Method = "PUT" }}, false},
		{"host", nil, []change{func(c *Call) { c.Host = "y" }}, false},
		{"workspace", []change{workspace("a")}, []change{workspace("b")}, false},
		{"workspace or none", nil, []change{workspace("b")}, false},
		{"two keys of a workspace", []change{workspace("a"), key("1")}, []change{workspace("a"), key("2")}, true},
		{"keys without workspaces", []change{key("1")}, []change{key("2")}, false},
		{"key or none", nil, []change{key("1")}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(fingerprint(test.a...) == fingerprint(test.b...)).To(gomega.Equal(test.same))
		})
	}
}

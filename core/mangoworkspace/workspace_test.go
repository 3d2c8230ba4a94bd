package mangoworkspace

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestSharedKeyIdentifiesNobody guards against a key in two workspaces that lets its
// owner act for either of them, and against a problem's text that reveals the key.
func TestSharedKeyIdentifiesNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	const shared, own = "shared-secret", "own-secret"
	d, problems := NewDirectory([]Workspace{
		{ID: "a", Keys: []Digest{DigestOf(shared), DigestOf(own)}},
		{ID: "b", Keys: []Digest{DigestOf(shared)}},
		{ID: "c", Keys: []Digest{DigestOf(shared)}},
	})
	_, ok := d.ByKey(DigestOf(shared))
	g.Expect(ok).To(gomega.BeFalse())
	w, ok := d.ByKey(DigestOf(own))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(w.ID).To(gomega.BeEquivalentTo("a"))
	g.Expect(problems).To(gomega.HaveLen(2))
	text := problems[0].String()
	g.Expect(text).To(gomega.And(gomega.ContainSubstring(`"a"`), gomega.ContainSubstring(`"b"`)))
	g.Expect(strings.Contains(text, shared)).To(gomega.BeFalse())
}

// TestSecondWorkspaceOfANameIsLeftOut guards against one entry that takes the place of
// another, or that makes the others unusable.
func TestSecondWorkspaceOfANameIsLeftOut(t *testing.T) {
	g := gomega.NewWithT(t)
	d, problems := NewDirectory([]Workspace{
		{ID: "a", Keys: []Digest{DigestOf("1")}}, {ID: "a", Keys: []Digest{DigestOf("2")}}, {ID: "b", Keys: []Digest{DigestOf("3")}},
	})
	g.Expect(problems).To(gomega.HaveLen(1))
	g.Expect(d.All()).To(gomega.HaveLen(2))
	_, ok := d.ByKey(DigestOf("2"))
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = d.ByKey(DigestOf("3"))
	g.Expect(ok).To(gomega.BeTrue())
}

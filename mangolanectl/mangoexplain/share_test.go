package mangoexplain

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestCauseNamesTheShare guards against a late call whose place behind others, and whose
// wasted prefills, its explanation does not name.
func TestCauseNamesTheShare(t *testing.T) {
	const lines = `{"Time":"2026-12-04T10:00:01Z","Message":"prefill wasted","Request":"r","Reason":"Preempted","Tokens":800}
{"Time":"2026-12-04T10:00:02Z","Message":"call finished","Request":"r","Status":200,"OnTime":false,"Workspace":"w","Priority":3,"Lead":12}
{"Time":"2026-12-04T10:00:02Z","Message":"call finished","Request":"q","Status":200,"OnTime":false}
`
	g := gomega.NewWithT(t)
	r, err := Read(strings.NewReader(lines), "r")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(cause(r)).To(gomega.HaveSuffix(`, workspace "w" at priority 3, ahead of its share by 12, a prefill of 800 tokens wasted: Preempted`))
	r, err = Read(strings.NewReader(lines), "q")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(cause(r)).NotTo(gomega.ContainSubstring("workspace"))
}

package mangoquery_test

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// listed is what `go list -json` says of a package.
type listed struct {
	ImportPath string
	Deps       []string
}

// packages returns the packages of core with all that they import.
func packages(t *testing.T) []listed {
	g := gomega.NewWithT(t)
	out, err := exec.Command("go", "list", "-json=ImportPath,Deps", "mangolane/core/...").Output()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var list []listed
	for dec := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p listed
		err := dec.Decode(&p)
		if errors.Is(err, io.EOF) {
			return list
		}
		g.Expect(err).NotTo(gomega.HaveOccurred())
		list = append(list, p)
	}
}

// TestImports holds the arrows between the packages.
func TestImports(t *testing.T) {
	const core = "mangolane/core/"
	rules := []struct {
		who    string
		never  []string
		reason string
	}{
		{"mangoquery", []string{"mangocommand", "mangosched", "mangoloop", "mangoagent", "mangoroute", "mangoentry"}, "queries know no commands"},
		{"mangocommand", []string{"mangowire", "mangorest", "mangoagent", "mangoroute", "mangoentry"}, "commands know no adapter and no traffic"},
		{"mangosched", []string{"mangocommand", "mangowire", "mangorest", "mangoloop"}, "decisions know no encoding"},
		{"mangoshard", []string{"mangosched", "mangocommand", "mangowire", "mangorest", "mangoloop"}, "decisions know no encoding"},
		{"mangomember", []string{"mangocommand", "mangowire", "mangorest", "mangoloop"}, "decisions know no encoding"},
		{"mangoroute", []string{"mangowire", "mangorest"}, "decisions know no encoding"},
		{"mangoentry", []string{"mangowire", "mangorest"}, "decisions know no encoding"},
		{"mangoagent", []string{"mangowire", "mangorest"}, "workers know no encoding"},
		{"mangofleet", []string{"mangowire", "mangorest", "mangorelay", "mangobroker", "mangofollow"}, "commands know no adapter and no traffic"},
		{"mangopool", []string{"mangofleet", "mangoloop", "mangowire", "mangorest"}, "decisions know no loop and no encoding"},
		{"mangoroster", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions know no loop and no encoding"},
		{"mangobalance", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions know no loop and no encoding"},
		{"mangorelay", []string{"mangowire", "mangorest"}, "decisions know no encoding"},
		{"mangobroker", []string{"mangowire", "mangorest"}, "decisions know no encoding"},
		{"mangofollow", []string{"mangowire", "mangorest"}, "workers know no encoding"},
	}
	list := packages(t)
	for _, p := range list {
		for _, dep := range p.Deps {
			if strings.HasPrefix(dep, "mangolane/") && !strings.HasPrefix(dep, core) {
				t.Errorf("%s imports %s: core imports no program", p.ImportPath, dep)
			}
			for _, r := range rules {
				for _, never := range r.never {
					if p.ImportPath == core+r.who && dep == core+never {
						t.Errorf("%s imports %s: %s", p.ImportPath, dep, r.reason)
					}
				}
			}
		}
	}
	gomega.NewWithT(t).Expect(len(list)).To(gomega.BeNumerically(">", len(rules)))
}

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

// packageInfo is the output of `go list -json` for one package.
type packageInfo struct {
	ImportPath string
	Deps       []string
}

// listPackages returns the packages of core with their transitive imports.
func listPackages(t *testing.T) []packageInfo {
	g := gomega.NewWithT(t)
	out, err := exec.Command("go", "list", "-json=ImportPath,Deps", "mangolane/core/...").Output()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var list []packageInfo
	for dec := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p packageInfo
		err := dec.Decode(&p)
		if errors.Is(err, io.EOF) {
			return list
		}
		g.Expect(err).NotTo(gomega.HaveOccurred())
		list = append(list, p)
	}
}

// TestImports enforces the allowed dependencies between packages.
func TestImports(t *testing.T) {
	const core = "mangolane/core/"
	rules := []struct {
		pkg    string
		never  []string
		reason string
	}{
		{"mangoquery", []string{"mangocommand", "mangosched", "mangoloop", "mangoagent", "mangoroute", "mangoentry"}, "queries must not depend on commands"},
		{"mangocommand", []string{"mangowire", "mangorest", "mangoagent", "mangoroute", "mangoentry"}, "commands must not depend on adapters or traffic"},
		{"mangosched", []string{"mangocommand", "mangowire", "mangorest", "mangoloop"}, "decisions must not depend on encodings"},
		{"mangoshard", []string{"mangosched", "mangocommand", "mangowire", "mangorest", "mangoloop"}, "decisions must not depend on encodings"},
		{"mangomember", []string{"mangocommand", "mangowire", "mangorest", "mangoloop"}, "decisions must not depend on encodings"},
		{"mangoroute", []string{"mangowire", "mangorest"}, "decisions must not depend on encodings"},
		{"mangoentry", []string{"mangowire", "mangorest"}, "decisions must not depend on encodings"},
		{"mangoagent", []string{"mangowire", "mangorest"}, "workers must not depend on encodings"},
		{"mangofleet", []string{"mangowire", "mangorest", "mangorelay", "mangobroker", "mangofollow"}, "commands must not depend on adapters or traffic"},
		{"mangopool", []string{"mangofleet", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangobuilds", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangodeparture", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoorigin", []string{"mangowire", "mangorest", "mangorelay"}, "records must not depend on encodings or calls"},
		{"mangoroster", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangobalance", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoqueue", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangofair", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoshare", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoreturn", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangooutlier", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoload", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoworkspace", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoaccess", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoquota", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoclients", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangohead", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangocheck", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoleaving", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangobackoff", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoshutdown", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangocrash", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoquarantine", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangoending", []string{"mangofleet", "mangopool", "mangoloop", "mangowire", "mangorest"}, "decisions must not depend on the loop or encodings"},
		{"mangorelay", []string{"mangowire", "mangorest"}, "decisions must not depend on encodings"},
		{"mangobroker", []string{"mangowire", "mangorest"}, "decisions must not depend on encodings"},
		{"mangofollow", []string{"mangowire", "mangorest"}, "workers must not depend on encodings"},
	}
	list := listPackages(t)
	for _, p := range list {
		for _, dep := range p.Deps {
			if strings.HasPrefix(dep, "mangolane/") && !strings.HasPrefix(dep, core) {
				t.Errorf("%s imports %s: core must not import a program", p.ImportPath, dep)
			}
			for _, r := range rules {
				for _, never := range r.never {
					if p.ImportPath == core+r.pkg && dep == core+never {
						t.Errorf("%s imports %s: %s", p.ImportPath, dep, r.reason)
					}
				}
			}
		}
	}
	gomega.NewWithT(t).Expect(len(list)).To(gomega.BeNumerically(">", len(rules)))
}

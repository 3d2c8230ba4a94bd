package mangocheck

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// document returns a configuration without findings.
func document() *mangotraffic.Document {
	route := func(name mangotraffic.RouteName, prefix mangotraffic.PathPrefix) mangotraffic.Route {
		return mangotraffic.Route{Name: name, Host: "h", Prefix: prefix, Timeout: 7 * time.Second, TargetLatency: 7 * time.Second,
			Targets: []mangotraffic.Target{{Service: "s", Weight: 1}, {Service: "t", Weight: 2}}}
	}
	key := func(text string) []mangoworkspace.Digest {
		return []mangoworkspace.Digest{mangoworkspace.DigestOf(text)}
	}
	return &mangotraffic.Document{
		Routes:     []mangotraffic.Route{route("a", "/"), route("b", "/b/")},
		Services:   []mangotraffic.Service{{Name: "s"}, {Name: "t"}},
		Limits:     mangotraffic.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second},
		Restricted: true,
		Workspaces: []mangoworkspace.Workspace{
			{ID: "hats", Keys: key("k1"), Limit: mangoworkspace.Limit{Rate: 1, Burst: 1}},
			{ID: "pots", Keys: key("k2"), Limit: mangoworkspace.Limit{Unit: mangoworkspace.UnitTokens, Rate: 1, Burst: 9, PlainTokens: 9}},
		},
	}
}

// TestEachFaultIsFound has a row for each fault that a document may have, and checks that a
// document at the bounds has none.
func TestEachFaultIsFound(t *testing.T) {
	problem := mangoworkspace.Problem{Workspace: "hats", Field: "f", Value: "-1", Want: "more"}
	digest := mangoworkspace.DigestOf("k1").String()
	const unusable = "Warning workspace \"%s\" Keys none usable"
	tests := []struct {
		name     string
		change   func(d *mangotraffic.Document)
		problems []mangoworkspace.Problem
		want     []string
	}{
		{name: "none", change: func(*mangotraffic.Document) {}},
		{name: "entry left out", change: func(*mangotraffic.Document) {}, problems: []mangoworkspace.Problem{problem}, want: []string{`Error workspace "hats" f -1`}},
		{name: "prefix", change: func(d *mangotraffic.Document) { d.Routes[1].Prefix = "/b" }, want: []string{`Error route "b" Prefix "/b"`}},
		{name: "no target", change: func(d *mangotraffic.Document) { d.Routes[1].Targets = nil }, want: []string{`Error route "b" Targets empty`}},
		{name: "no service", change: func(d *mangotraffic.Document) { d.Routes[1].Targets[0].Service = "x" }, want: []string{`Error route "b" Targets "x"`}},
		{name: "shadowed", change: func(d *mangotraffic.Document) { d.Routes[1].Prefix = "/" }, want: []string{`Warning route "b" Prefix "/" of host "h", which route "a" has before it`}},
		{name: "same prefix of another host", change: func(d *mangotraffic.Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/", "g" }},
		{name: "weight", change: func(d *mangotraffic.Document) { d.Routes[1].Targets[0].Weight = 0 }, want: []string{`Warning route "b" Weight 0 of service "s"`}},
		{name: "no weights", change: func(d *mangotraffic.Document) { d.Routes[1].Targets[0].Weight, d.Routes[1].Targets[1].Weight = 0, 0 },
			want: []string{`Warning route "b" Weight 0 of service "t"`}},
		{name: "no keys", change: func(d *mangotraffic.Document) { d.Workspaces[1].Keys = nil }, want: []string{fmt.Sprintf(unusable, "pots")}},
		{name: "shared key", change: func(d *mangotraffic.Document) {
			d.Workspaces[1].Keys = append(d.Workspaces[1].Keys, d.Workspaces[0].Keys...)
		},
			problems: []mangoworkspace.Problem{{Workspace: "pots", Field: "key", Value: `also a key of workspace "hats"`, Want: "a key of one workspace"}},
			want: []string{`Error workspace "hats" Keys ` + digest + `, also a key of workspace "pots"`, fmt.Sprintf(unusable, "hats"),
				`Error workspace "pots" Keys ` + digest + `, also a key of workspace "hats"`}},
		{name: "burst below a request", change: func(d *mangotraffic.Document) { d.Workspaces[0].Limit.Burst = 0.5 }, want: []string{`Warning workspace "hats" Burst 0.5`}},
		{name: "burst below a plain call", change: func(d *mangotraffic.Document) { d.Workspaces[1].Limit.Burst = 8 }, want: []string{`Warning workspace "pots" Burst 8`}},
		{name: "burst without a rate", change: func(d *mangotraffic.Document) { d.Workspaces[1].Limit.Rate, d.Workspaces[1].Limit.Burst = 0, 8 }},
		{name: "target latency", change: func(d *mangotraffic.Document) { d.Routes[0].TargetLatency += time.Millisecond }, want: []string{`Warning route "a" TargetLatency 7.001s`}},
		{name: "timeout", change: func(d *mangotraffic.Document) { d.Routes[0].Timeout = 8 * time.Second }, want: []string{`Warning route "a" Timeout 8s`}},
		{name: "no timeout", change: func(d *mangotraffic.Document) { d.Routes[0].Timeout = 0 }, want: []string{`Warning route "a" Timeout none`}},
		{name: "idle time", change: func(d *mangotraffic.Document) { d.Limits.IdleTimeout -= time.Millisecond }, want: []string{`Warning document IdleTimeout 999ms`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := document()
			test.change(d)
			var found []string
			for _, f := range Check(d, test.problems, WithGracePeriod(8*time.Second)) {
				found = append(found, fmt.Sprintf("%v %s %s %s", f.Severity, f.Subject, f.Field, f.Value))
				gomega.NewWithT(t).Expect(f.Want).NotTo(gomega.BeEmpty())
			}
			gomega.NewWithT(t).Expect(found).To(gomega.Equal(test.want))
		})
	}
}

// TestTimeoutsNeedAGracePeriod guards against warnings about stops whose length is unknown.
func TestTimeoutsNeedAGracePeriod(t *testing.T) {
	d := document()
	d.Routes[0].Timeout = 0
	gomega.NewWithT(t).Expect(Check(d, nil)).To(gomega.BeEmpty())
}

// TestDifferencesAreNamed guards against a change that the comparison doesn't show, and
// against one that it shows in a part that hasn't changed.
func TestDifferencesAreNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := document(), document()
	g.Expect(Compare(before, after)).To(gomega.BeEmpty())
	before.Routes = append(before.Routes, mangotraffic.Route{Name: "old"}, mangotraffic.Route{Name: "a", Host: "second"})
	after.Routes = append(after.Routes, mangotraffic.Route{Name: "a", Host: "other"})
	after.Routes[1].Timeout = time.Second
	after.Limits.BodyBytes = 5
	after.Services[0].Engine = &mangotraffic.Engine{}
	after.Workspaces[0].Keys = []mangoworkspace.Digest{mangoworkspace.DigestOf("k3")}
	after.Workspaces[0].HasPriority = true
	after.Workspaces[1].ID = "new"
	var list []string
	for _, d := range Compare(before, after) {
		// The fields of an added part are all its entries; a few suffice here.
		if d.Subject != `workspace "new"` || d.Field == "" || d.Field == FieldKeys {
			list = append(list, fmt.Sprintf("%v %s %s: %s to %s", d.Change, d.Subject, d.Field, d.Before, d.After))
		}
	}
	digest := func(key string) string { return mangoworkspace.DigestOf(key).String() }
	g.Expect(list).To(gomega.Equal([]string{
		`Changed document BodyBytes: 0 to 5`,
		`Changed workspace "hats" Priority: that of the route to 0`,
		`Added workspace "hats" Keys:  to ` + digest("k3"),
		`Removed workspace "hats" Keys: ` + digest("k1") + ` to `,
		`Added workspace "new" :  to `,
		`Added workspace "new" Keys:  to ` + digest("k2"),
		`Changed route "b" Timeout: 7s to 1s`,
		`Changed route "a" #2 Host: second to other`,
		`Changed service "s" Engine: false to true`,
		`Removed workspace "pots" :  to `,
		`Removed route "old" :  to `,
	}))
}

package mangofleet

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestListOfALaterEraIsNeverIgnored guards against a list that is ignored since the store
// came back from an older copy, whose positions are lower. Lists of the earlier era, and
// changes without what the new era began with, are.
func TestListOfALaterEraIsNeverIgnored(t *testing.T) {
	s1, s2 := plain("s1", "a1"), plain("s2", "a1")
	later := mangotraffic.Cursor{Era: 2, Position: 3}
	full := ChangeServers{Full: true, Cursor: later, Changes: []mangotraffic.ServerChange{{ID: "s2", Server: &s2}}}
	tests := []struct {
		name    string
		command ChangeServers
		listed  []mangomodel.ServerID
		cursor  mangotraffic.Cursor
	}{
		{"whole list, position behind", full, []mangomodel.ServerID{"s2"}, later},
		{"changes without the list", ChangeServers{Cursor: mangotraffic.Cursor{Era: 2, Position: 90}, Changes: full.Changes}, []mangomodel.ServerID{"s1"}, mangotraffic.Cursor{Era: 1, Position: 60}},
		{"whole list of an earlier era", ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: 90}, Changes: full.Changes}, []mangomodel.ServerID{"s1"}, mangotraffic.Cursor{Era: 1, Position: 60}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(x *fixture) {
				x.do(ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: 1, Position: 60}, Changes: []mangotraffic.ServerChange{{ID: "s1", Server: &s1}}})
				x.do(test.command)
				view := x.fleet.View()
				x.Expect(view.ListCursor).To(gomega.Equal(test.cursor))
				x.Expect(view.Listed).To(gomega.HaveLen(len(test.listed)))
				for _, id := range test.listed {
					x.Expect(view.Listed).To(gomega.HaveKey(id))
				}
			})
		})
	}
}

// TestOlderConfigurationOfALaterEraIsFollowed guards against a configuration that reverts
// after a drill, and against one that is missed since the position of the old era is kept.
func TestOlderConfigurationOfALaterEraIsFollowed(t *testing.T) {
	bubble(t, func(x *fixture) {
		install := func(rev mangomodel.Revision, at mangotraffic.Cursor) error {
			routing, err := mangotraffic.NewRouting(rev, nil, nil, mangotraffic.Limits{})
			x.Expect(err).NotTo(gomega.HaveOccurred())
			return x.fleet.Do(context.Background(), InstallRouting{Routing: routing, Cursor: at})
		}
		x.Expect(install(7, mangotraffic.Cursor{Era: 1, Position: 60})).To(gomega.Succeed())
		x.Expect(install(5, mangotraffic.Cursor{Era: 2, Position: 3})).NotTo(gomega.Succeed())
		x.Expect(x.fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(7))
		x.Expect(x.fleet.View().RoutingCursor).To(gomega.Equal(mangotraffic.Cursor{Era: 2, Position: 3}))
		x.Expect(install(8, mangotraffic.Cursor{Era: 2, Position: 4})).To(gomega.Succeed())
		x.Expect(x.fleet.View().RoutingCursor).To(gomega.Equal(mangotraffic.Cursor{Era: 2, Position: 4}))
	})
}

package mangocommand

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
)

func newTestState() *state {
	return newState(mangomember.Member{Daemon: "a", Incarnation: 1, DataCentre: "dc"}, nil)
}

// poolChange returns a change that creates the pool of model.
func poolChange(model mangomodel.ModelID) mangoconfig.Change {
	pool := mangoconfig.DefaultPool(model)
	return mangoconfig.Change{ID: mangomodel.ChangeID(model), Pool: &pool}
}

func TestConfigurationNeverReverts(t *testing.T) {
	one, two := poolChange("one"), poolChange("two")
	first, _ := (&mangoconfig.Catalog{}).Apply(one)
	second, _ := first.Apply(two)
	applyAt := func(r mangomodel.Revision, c mangoconfig.Change) Command {
		return ApplyChange{Change: mangoconfig.AcceptedChange{Revision: r, Change: c}}
	}
	tests := []struct {
		name     string
		commands []Command
		want     mangomodel.Revision
		conflict bool
	}{
		{"changes in order", []Command{applyAt(1, one), applyAt(2, two)}, 2, false},
		{"duplicate change", []Command{applyAt(1, one), applyAt(2, two), applyAt(1, one)}, 2, false},
		{"missing revision", []Command{applyAt(2, two)}, 0, true},
		{"catalog", []Command{InstallCatalog{second}}, 2, false},
		{"older catalog", []Command{InstallCatalog{second}, InstallCatalog{first}}, 2, false},
		{"empty catalog", []Command{applyAt(1, one), InstallCatalog{&mangoconfig.Catalog{}}}, 1, false},
		{"change after catalog", []Command{InstallCatalog{first}, applyAt(2, two)}, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTestState()
			var err error
			for _, c := range tt.commands {
				err = c.Apply(s, time.Now())
			}
			g.Expect(mangomodel.HasCode(err, mangomodel.CodeConflict)).To(gomega.Equal(tt.conflict))
			g.Expect(s.catalog.Revision()).To(gomega.Equal(tt.want))
		})
	}
}

func TestAdoptedGrantEndsWithItsRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestState()
	id := mangomodel.GrantID{Holder: s.members.Self().Holder(), Number: 1}
	grant := mangomodel.Grant{ID: id, Shard: mangomodel.ShardID{DataCentre: "dc", Model: "m"}}
	apply := func(commands ...Command) {
		for _, c := range commands {
			g.Expect(c.Apply(s, time.Now())).To(gomega.Succeed())
		}
	}
	apply(AddHolding{mangoquery.Holding{Grant: grant, Scheduler: "dead"}}, Adopt{[]mangomodel.Grant{grant}})
	g.Expect(s.scheduler.Grants()).To(gomega.HaveLen(1))
	apply(RemoveHolding{Grant: id})
	g.Expect(s.scheduler.Grants()).To(gomega.BeEmpty(), "the adopted copy ends with the holding, since the scheduler that issued it is dead")
	apply(Adopt{[]mangomodel.Grant{grant}})
	g.Expect(s.scheduler.Grants()).To(gomega.BeEmpty(), "a late adoption does not restore a released grant")
}

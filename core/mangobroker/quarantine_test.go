package mangobroker

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquarantine"
)

// TestPartIsQuarantinedByAll guards against a part that crashes one server after the
// other because each daemon sees one of the crashes, and against a new scheduler or an
// exoneration that reaches some daemons only.
func TestPartIsQuarantinedByAll(t *testing.T) {
	bubble(t, func(g *gomega.WithT, ctx context.Context, m *mesh) {
		list := []*daemon{m.start("a", 1), m.start("b", 1, "a"), m.start("c", 1, "a"), m.start("d", 1, "a")}
		for _, d := range list {
			d.configure(g)
		}
		current, cancel := context.WithCancel(ctx)
		defer cancel()
		keepCurrent(g, current, list...)
		time.Sleep(3 * time.Second)
		crash := func(d *daemon, id mangomodel.ServerID, parts ...mangomodel.PartID) {
			cmd := mangofleet.ServerCrashed{Crash: mangoquarantine.Crash{Server: id}, Parts: parts}
			g.Expect(d.fleet.Do(ctx, cmd)).To(gomega.Succeed())
			time.Sleep(time.Second)
		}
		refused := func(parts ...mangomodel.PartID) int {
			n := 0
			for _, d := range list {
				err := d.fleet.Do(ctx, mangofleet.AdmitCall{Service: service, Parts: parts})
				g.Expect(err == nil || mangomodel.HasCode(err, mangomodel.CodeQuarantined)).To(gomega.BeTrue())
				if err != nil {
					n++
				}
			}
			return n
		}
		crash(list[1], "s1", "shared", "deadly")
		crash(list[2], "s2", "shared", "deadly")
		g.Expect(refused("shared", "deadly")).To(gomega.Equal(len(list)))
		g.Expect(refused("shared", "sound")).To(gomega.BeZero())
		g.Expect(list[3].fleet.Do(ctx, mangofleet.CallStarted{Parts: []mangomodel.PartID{"shared", "sound"}})).To(gomega.Succeed())
		time.Sleep(time.Second)
		g.Expect(refused("deadly")).To(gomega.Equal(len(list)))
		for i, d := range list {
			if d.broker.self.Holder.Daemon == d.scheduler() {
				cancel()
				time.Sleep(time.Millisecond)
				d.stop()
				m.set(d.broker.self.Address, true)
				list = append(list[:i:i], list[i+1:]...)
				break
			}
		}
		g.Expect(list).To(gomega.HaveLen(3))
		keepCurrent(g, ctx, list...)
		time.Sleep(2 * time.Second)
		g.Expect(refused("deadly")).To(gomega.Equal(len(list)))
		time.Sleep(10 * time.Second)
		g.Expect(refused("deadly")).To(gomega.BeZero())
		crash(list[0], "s3", "deadly")
		g.Expect(refused("deadly")).To(gomega.Equal(len(list)))
	})
}

package mangoarchive

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
)

// TestWriteOnRowsOfAnEarlierEraIsNotReliedOn guards against a daemon that holds a row of an
// earlier era, whose version the store has given out again: a write of it then replaces the
// row of another daemon, and a record that the store has lost stays lost.
func TestWriteOnRowsOfAnEarlierEraIsNotReliedOn(t *testing.T) {
	withDaemons(t, 2, func(d *daemons) {
		const lost mangomodel.Fingerprint = 9
		d.table.era = 1
		d.crash(1, 1)
		time.Sleep(2 * time.Second)
		restore := d.table.copy()
		for i := range mangocrash.MaxCrashes {
			d.Expect(d.do(0, mangofleet.CallAborted{Call: lost, Server: mangocrash.Incarnation(i)})).To(gomega.Succeed())
		}
		time.Sleep(2 * time.Second)
		d.crash(0, 2)
		time.Sleep(2 * time.Second)
		version := d.table.row(deadly).Version
		restore()
		for i := mangocrash.Incarnation(10); d.table.row(deadly).Version < version; i++ {
			d.crash(1, i)
			time.Sleep(2 * time.Second)
		}
		d.Expect(d.table.row(deadly).Version).To(gomega.Equal(version))
		d.Expect(d.table.row(lost).Empty()).To(gomega.BeTrue())
		// The first daemon writes on the version that it knows.
		d.crash(0, 3)
		time.Sleep(5 * time.Second)
		d.Expect(d.table.row(lost).Crashes).To(gomega.HaveLen(mangocrash.MaxCrashes))
	})
}

// TestAnswerOfAnEarlierEraIsLate guards against rows that are taken for current ones, because
// the answer was delayed until the store had come back.
func TestAnswerOfAnEarlierEraIsLate(t *testing.T) {
	withDaemons(t, 1, func(d *daemons) {
		d.table.era = 2
		d.crash(0, 1)
		time.Sleep(2 * time.Second)
		d.table.mu.Lock()
		d.table.era = 1
		d.table.mu.Unlock()
		for i := range mangocrash.MaxCrashes {
			d.crash(0, mangocrash.Incarnation(2+i))
		}
		time.Sleep(mangocrash.FirstProbe + time.Second)
		d.Expect(d.probe(0)).To(gomega.BeFalse(), "the records are not known to be saved")
		d.table.mu.Lock()
		d.table.era = 2
		d.table.mu.Unlock()
		time.Sleep(maxBackoff + time.Second)
		d.Expect(d.probe(0)).To(gomega.BeTrue())
	})
}

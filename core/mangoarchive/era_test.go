package mangoarchive

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestWriteOnRowsOfAnEarlierEraIsNotReliedOn guards against a daemon that holds a row of an
// earlier era, whose version the store has given out again: a write of it then replaces the
// row of another daemon, and a record that the store has lost stays lost.
func TestWriteOnRowsOfAnEarlierEraIsNotReliedOn(t *testing.T) {
	withDaemons(t, 0, func(d *daemons) {
		const lost mangomodel.Fingerprint = 9
		d.table.era = 1
		d.start(2)
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
		d.crash(1, 10)
		time.Sleep(2 * time.Second)
		d.table.mu.Lock()
		d.table.version = version - 1
		d.table.mu.Unlock()
		d.crash(1, 11)
		time.Sleep(2 * time.Second)
		d.Expect(d.table.row(deadly).Version).To(gomega.Equal(version))
		d.Expect(d.table.row(lost).Empty()).To(gomega.BeTrue())
		// The first daemon writes on the version that it knows.
		d.crash(0, 3)
		time.Sleep(5 * time.Second)
		d.Expect(d.table.row(lost).Crashes).To(gomega.HaveLen(mangocrash.MaxCrashes))
		time.Sleep(secondDelay + secondSpread)
		d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(5), "what was replaced is back")
	})
}

// TestAnswerOfAnEarlierEraIsLate guards against rows that are taken for current ones, because
// the answer was delayed until the store had come back.
func TestAnswerOfAnEarlierEraIsLate(t *testing.T) {
	withDaemons(t, 0, func(d *daemons) {
		d.table.era = 2
		d.start(1)
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

// learn tells a daemon's fleet of an era, as the list does.
func (d *daemons) learn(i int, era mangotraffic.Era) {
	cmd := mangofleet.ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Era: era, Position: 1}, From: mangofleet.Platform}
	d.Expect(d.do(i, cmd)).To(gomega.Succeed())
}

// TestDrillForgetsNoCrash guards against a kill of all daemons that forgets what the store
// lost in a drill, of which no call of the archive failed, and against all daemons that write
// the same rows again.
func TestDrillForgetsNoCrash(t *testing.T) {
	const fleet = 20
	for _, test := range []struct {
		name string
		// restarted daemons know the crashes from the rows, none as their own.
		restarted bool
		// after is when all are killed.
		after time.Duration
		// writes is how many may be made for the drill.
		writes int
	}{
		{"seen by a daemon that lives", false, time.Second, 1},
		{"seen by a daemon that lives, later", false, secondDelay + secondSpread + time.Second, 1},
		{"seen before a restart", true, secondDelay + secondSpread + time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			withDaemons(t, 0, func(d *daemons) {
				d.table.era = 1
				d.start(fleet)
				for i := range d.fleets {
					d.learn(i, 1)
				}
				time.Sleep(time.Second)
				restore := d.table.copy()
				for i := range mangocrash.MaxCrashes {
					d.crash(0, mangocrash.Incarnation(i))
				}
				d.exchange()
				time.Sleep(2 * time.Second)
				if test.restarted {
					d.killAll()
					d.start(fleet)
					for i := range d.fleets {
						d.learn(i, 1)
					}
				}
				d.Expect(d.refused()).To(gomega.Equal(fleet))
				reads, writes := d.table.read(), d.table.written()
				restore()
				for i := range d.fleets {
					d.learn(i, 2)
				}
				time.Sleep(test.after)
				d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(mangocrash.MaxCrashes))
				d.Expect(d.table.written() - writes).To(gomega.BeNumerically("<=", test.writes))
				d.Expect(d.table.read() - reads).To(gomega.BeNumerically("<=", fleet+1))
				d.killAll()
				d.start(1)
				d.Expect(d.refused()).To(gomega.Equal(1))
			})
		})
	}
}

// TestDrillWithoutCrashesCostsNoCalls guards against reads of all daemons after each drill,
// though none knows of a crash.
func TestDrillWithoutCrashesCostsNoCalls(t *testing.T) {
	withDaemons(t, 0, func(d *daemons) {
		d.table.era = 1
		d.start(3)
		reads := d.table.read()
		for era := mangotraffic.Era(2); era < 5; era++ {
			d.table.copy()()
			for i := range d.fleets {
				d.learn(i, era)
			}
			time.Sleep(secondDelay + secondSpread + time.Second)
		}
		d.Expect(d.table.read()).To(gomega.Equal(reads))
		d.Expect(d.table.written()).To(gomega.BeZero())
		d.crash(0, 1)
		time.Sleep(2 * time.Second)
		d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(1))
	})
}

// TestDaemonsWriteTheirOwnCrashesAfterADrill guards against all daemons that write all rows
// again, in conflict with each other, since all know all refused calls.
func TestDaemonsWriteTheirOwnCrashesAfterADrill(t *testing.T) {
	const fleet = 8
	withDaemons(t, 0, func(d *daemons) {
		d.table.era = 1
		d.start(fleet)
		for i := range d.fleets {
			d.learn(i, 1)
		}
		restore := d.table.copy()
		for i := range d.fleets {
			for n := range mangocrash.MaxCrashes {
				cmd := mangofleet.CallAborted{Call: mangomodel.Fingerprint(100 + i), Server: mangocrash.Incarnation(n)}
				d.Expect(d.do(i, cmd)).To(gomega.Succeed())
			}
		}
		d.exchange()
		time.Sleep(2 * time.Second)
		d.Expect(d.table.size()).To(gomega.Equal(fleet))
		writes, sent := d.table.written(), d.table.rowsSent()
		restore()
		for i := range d.fleets {
			d.learn(i, 2)
		}
		time.Sleep(secondDelay + secondSpread + time.Second)
		d.Expect(d.table.size()).To(gomega.Equal(fleet))
		d.Expect(d.table.written() - writes).To(gomega.Equal(fleet))
		d.Expect(d.table.rowsSent() - sent).To(gomega.Equal(fleet))
	})
}

// TestRowsOfAClockThatWasSetBackAreWrittenAgain guards against rows that lie in the future of
// the store's clock, so that they are kept beyond their retention, and a restart of all daemons
// takes their crashes for ones of that moment.
func TestRowsOfAClockThatWasSetBackAreWrittenAgain(t *testing.T) {
	withDaemons(t, 0, func(d *daemons) {
		d.table.era = 1
		d.start(3)
		for i := range d.fleets {
			d.learn(i, 1)
		}
		time.Sleep(24 * time.Hour)
		for i := range mangocrash.MaxCrashes {
			d.crash(0, mangocrash.Incarnation(i))
		}
		d.exchange()
		time.Sleep(2 * time.Second)
		d.table.copy()()
		d.table.mu.Lock()
		d.table.began = time.Now()
		d.table.mu.Unlock()
		for i := range d.fleets {
			d.learn(i, 2)
		}
		writes := d.table.written()
		time.Sleep(secondDelay + secondSpread + time.Second)
		r := d.table.row(deadly)
		d.Expect(r.Crashes).To(gomega.HaveLen(mangocrash.MaxCrashes))
		d.Expect(time.Duration(r.Seen)).To(gomega.BeNumerically("<=", 0))
		for _, e := range r.Crashes {
			d.Expect(time.Duration(e.At)).To(gomega.BeNumerically("<=", 0))
		}
		d.Expect(d.table.written() - writes).To(gomega.Equal(1))
		time.Sleep(mangocrash.Retention + 2*removalInterval)
		d.Expect(d.table.size()).To(gomega.BeZero())
	})
}

package mangoarchive

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangocrash"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
)

// TestKillOfAllDaemonsForgetsNoCrash guards against a call that crashes more servers each
// time that all daemons were killed, whenever that is.
func TestKillOfAllDaemonsForgetsNoCrash(t *testing.T) {
	withDaemons(t, 3, func(d *daemons) {
		for i := range mangocrash.MaxCrashes {
			d.Expect(d.refused()).To(gomega.BeZero(), "after %d crashes", i)
			d.crash(i, mangocrash.Incarnation(i))
			time.Sleep(1200 * time.Millisecond)
			d.killAll()
			time.Sleep(500 * time.Millisecond)
			d.start(3)
		}
		d.Expect(d.refused()).To(gomega.Equal(3))
		for range 2 {
			d.killAll()
			d.start(3)
			d.Expect(d.refused()).To(gomega.Equal(3))
		}
	})
}

// TestThirdCrashIsSavedAtOnce guards against a refused call that is forgotten because all
// daemons are killed right after it was refused.
func TestThirdCrashIsSavedAtOnce(t *testing.T) {
	withDaemons(t, 1, func(d *daemons) {
		for i := range mangocrash.MaxCrashes {
			d.crash(0, mangocrash.Incarnation(i))
		}
		time.Sleep(3 * latency)
		d.killAll()
		d.start(1)
		d.Expect(d.refused()).To(gomega.Equal(1))
	})
}

// TestKillsRenewNoProbe guards against more probes than a refused call may have in all,
// because daemons are killed right after each.
func TestKillsRenewNoProbe(t *testing.T) {
	withDaemons(t, 2, func(d *daemons) {
		for i := range mangocrash.MaxCrashes {
			d.crash(0, mangocrash.Incarnation(i))
		}
		probes := 0
		for minute := 0; minute < 60; minute++ {
			time.Sleep(time.Minute)
			for i := range d.fleets {
				if d.probe(i) {
					probes++
					d.killAll()
					d.start(2)
				}
			}
		}
		d.Expect(probes).To(gomega.Equal(mangocrash.MaxProbes))
	})
}

// TestWritesOfSeveralDaemonsLoseNoCrash guards against a daemon that replaces the row of
// another one, and against a write that is repeated because its answer was lost.
func TestWritesOfSeveralDaemonsLoseNoCrash(t *testing.T) {
	withDaemons(t, 5, func(d *daemons) {
		d.table.mu.Lock()
		d.table.loseAnswers = 3
		d.table.mu.Unlock()
		for i := range d.fleets {
			d.crash(i, mangocrash.Incarnation(i))
		}
		time.Sleep(10 * time.Second)
		d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(5))
		writes := d.table.written()
		time.Sleep(5 * time.Minute)
		d.Expect(d.table.written()).To(gomega.Equal(writes), "nothing is left to be written")
	})
}

// TestClearedCallHasNoRow guards against a refusal of a sound call that is back after a kill
// of all daemons, and against rows of calls that completed at once.
func TestClearedCallHasNoRow(t *testing.T) {
	withDaemons(t, 2, func(d *daemons) {
		completed := mangofleet.Observe{Observation: mangolease.Observation{Server: "s"}, Completed: deadly}
		d.crash(0, 1)
		time.Sleep(100 * time.Millisecond)
		d.Expect(d.do(0, completed)).To(gomega.Succeed())
		time.Sleep(5 * time.Second)
		d.Expect(d.table.written()).To(gomega.BeZero())
		for i := range mangocrash.MaxCrashes {
			d.crash(0, mangocrash.Incarnation(10+i))
		}
		time.Sleep(5 * time.Second)
		d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(mangocrash.MaxCrashes))
		d.Expect(d.do(0, completed)).To(gomega.Succeed())
		time.Sleep(5 * time.Second)
		d.Expect(d.table.size()).To(gomega.BeZero())
		d.killAll()
		d.start(2)
		d.Expect(d.refused()).To(gomega.BeZero())
	})
}

// TestClearanceByAnotherDaemonRemovesTheRow guards against a sound call that is refused after
// a kill of all daemons, because the daemon at which it completed knew of no row.
func TestClearanceByAnotherDaemonRemovesTheRow(t *testing.T) {
	for _, restart := range []bool{false, true} {
		withDaemons(t, 3, func(d *daemons) {
			for i := range mangocrash.MaxCrashes {
				d.crash(0, mangocrash.Incarnation(i))
			}
			time.Sleep(time.Second)
			d.Expect(d.table.size()).To(gomega.Equal(1))
			if restart {
				d.killAll()
				d.start(3)
			}
			d.exchange()
			completed := mangofleet.Observe{Observation: mangolease.Observation{Server: "s"}, Completed: deadly}
			d.Expect(d.do(1, completed)).To(gomega.Succeed())
			d.exchange()
			time.Sleep(5 * time.Second)
			d.Expect(d.table.size()).To(gomega.BeZero(), "restarted before: %v", restart)
		})
	}
}

// TestNoProbeWhileTheStoreIsAway guards against a probe that daemons that start anew do not
// know of, and against a daemon that does not serve, or forgets what it has not saved.
func TestNoProbeWhileTheStoreIsAway(t *testing.T) {
	withDaemons(t, 1, func(d *daemons) {
		d.table.set(true)
		for i := range mangocrash.MaxCrashes {
			d.crash(0, mangocrash.Incarnation(i))
		}
		time.Sleep(mangocrash.FirstProbe + time.Second)
		d.Expect(d.probe(0)).To(gomega.BeFalse())
		d.table.set(false)
		time.Sleep(maxBackoff + time.Second)
		d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(mangocrash.MaxCrashes))
		d.table.set(true)
		d.Expect(d.probe(0)).To(gomega.BeFalse(), "the store is away when the probe is saved")
		d.table.set(false)
		time.Sleep(6*mangocrash.FirstProbe + time.Second)
		d.Expect(d.probe(0)).To(gomega.BeTrue())

		d.table.set(true)
		d.killAll()
		began := time.Now()
		d.start(1)
		d.Expect(time.Since(began)).To(gomega.BeNumerically("<=", 2*latency), "the store refuses the read at once")
		d.Expect(d.refused()).To(gomega.BeZero())
		d.table.set(false)
		time.Sleep(maxBackoff + time.Second)
		d.Expect(d.refused()).To(gomega.Equal(1))
	})
}

// TestLateAnswerCountsNoCrashTwice guards against a call that is refused although it has
// crashed two servers only: answers of the store that reach a busy daemon late shift the times
// of restored crashes, and these counted beside the same ones of other daemons.
func TestLateAnswerCountsNoCrashTwice(t *testing.T) {
	server := func(id mangomodel.ServerID) mangocrash.Incarnation { return mangocrash.IncarnationOf(id, time.Now()) }
	for _, late := range []time.Duration{0, 3 * time.Second, 8 * time.Second} {
		withDaemons(t, 3, func(d *daemons) {
			d.crash(0, server("a"))
			d.exchange()
			time.Sleep(2 * time.Second)
			d.table.mu.Lock()
			d.table.late = late
			d.table.mu.Unlock()
			d.crash(1, server("b"))
			for range 100 {
				time.Sleep(250 * time.Millisecond)
				d.exchange()
			}
			d.killAll()
			d.start(1)
			d.table.mu.Lock()
			d.table.late = 0
			d.table.mu.Unlock()
			d.start(2)
			for range 60 {
				time.Sleep(250 * time.Millisecond)
				d.exchange()
			}
			d.Expect(d.refused()).To(gomega.BeZero(), "late by %v", late)
			d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(2))
			d.crash(2, server("c"))
			d.exchange()
			d.Expect(d.refused()).To(gomega.Equal(3))
		})
	}
}

// TestOlderCopyOfTheStoreForgetsNoCrash guards against a store that returns from an older copy,
// with an outage that the daemons notice or without, and a kill of all daemons after that.
func TestOlderCopyOfTheStoreForgetsNoCrash(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		withDaemons(t, 2, func(d *daemons) {
			const cleared mangomodel.Fingerprint = 9
			d.Expect(d.do(0, mangofleet.CallAborted{Call: cleared, Server: 1})).To(gomega.Succeed())
			time.Sleep(2 * time.Second)
			d.table.mu.Lock()
			older := maps.Clone(d.table.rows)
			d.table.mu.Unlock()
			for i := range mangocrash.MaxCrashes {
				d.crash(0, mangocrash.Incarnation(i))
			}
			d.Expect(d.do(0, mangofleet.Observe{Completed: cleared})).To(gomega.Succeed())
			time.Sleep(2 * time.Second)
			d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(mangocrash.MaxCrashes))
			d.table.mu.Lock()
			d.table.rows, d.table.down = older, noticed
			d.table.mu.Unlock()
			if noticed {
				d.Expect(d.do(0, mangofleet.CallAborted{Call: 10, Server: 1})).To(gomega.Succeed())
				time.Sleep(10 * time.Second)
				d.table.set(false)
				time.Sleep(10 * time.Second)
			}
			for end := time.Now().Add(2 * removalInterval); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				d.exchange()
			}
			d.Expect(d.table.row(deadly).Crashes).To(gomega.HaveLen(mangocrash.MaxCrashes), "noticed: %v", noticed)
			d.Expect(d.table.row(cleared).Empty()).To(gomega.BeTrue())
		})
	}
}

// TestNoWritesWithoutCrashes guards against calls to the store on days without crashes.
func TestNoWritesWithoutCrashes(t *testing.T) {
	withDaemons(t, 2, func(d *daemons) {
		for range 100 {
			d.Expect(d.do(0, mangofleet.Observe{Completed: deadly})).To(gomega.Succeed())
			_ = d.do(1, mangofleet.AdmitCall{Service: "app", Call: deadly})
			time.Sleep(time.Minute)
		}
		d.Expect(d.table.written()).To(gomega.BeZero())
	})
}

// TestStartAfterAnOutageIsNotDelayed guards against a daemon that serves only seconds after the
// store is back, because the archive pauses after its failures.
func TestStartAfterAnOutageIsNotDelayed(t *testing.T) {
	withDaemons(t, 0, func(d *daemons) {
		d.table.set(true)
		fleet := mangofleet.New(mangofleet.Self{}, func() mangobudget.Limits { return mangobudget.Limits{Window: time.Second} }, mangofleet.WithSavedCrashes())
		a := New(fleet, d.table, observer{})
		go fleet.Run(d.ctx)
		go a.Run(d.ctx)
		time.Sleep(30 * time.Second)
		d.table.set(false)
		began := time.Now()
		a.Await(d.ctx)
		d.Expect(time.Since(began)).To(gomega.BeNumerically("<=", 2*latency))
	})
}

// TestSilentStoreDelaysNoStart guards against a daemon that does not serve because the store
// does not answer the read of the records.
func TestSilentStoreDelaysNoStart(t *testing.T) {
	withDaemons(t, 0, func(d *daemons) {
		d.table.mu.Lock()
		d.table.late = 5 * time.Second
		d.table.mu.Unlock()
		began := time.Now()
		d.start(1)
		d.Expect(time.Since(began)).To(gomega.BeNumerically("<=", time.Second))
	})
}

// TestOldRowsAreRemoved guards against a table that grows without end.
func TestOldRowsAreRemoved(t *testing.T) {
	withDaemons(t, 1, func(d *daemons) {
		for i := range 100 {
			cmd := mangofleet.CallAborted{Call: mangomodel.Fingerprint(100 + i), Server: 1}
			d.Expect(d.do(0, cmd)).To(gomega.Succeed())
		}
		time.Sleep(time.Minute)
		d.Expect(d.table.size()).To(gomega.Equal(100))
		time.Sleep(mangocrash.Retention / 2)
		d.crash(0, 1)
		time.Sleep(mangocrash.Retention/2 + 2*removalInterval)
		d.Expect(d.table.size()).To(gomega.Equal(1))
		d.table.mu.Lock()
		for i := range maxRows + 100 {
			call := mangomodel.Fingerprint(1000 + i)
			d.table.rows[call] = Row{Call: call, Version: 1, Seen: Clock(time.Since(d.table.began)), Crashes: []Event{{ID: 1}}}
		}
		d.table.mu.Unlock()
		time.Sleep(2 * removalInterval)
		d.Expect(d.table.size()).To(gomega.Equal(maxRows))
	})
}

// TestRestoredTimesAreNotInTheFuture guards against a store whose clock begins anew, after
// which times of rows would lie ahead and a refusal would not end.
func TestRestoredTimesAreNotInTheFuture(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	r := Row{Call: 7, Seen: Clock(time.Hour), Crashes: []Event{{ID: 1, At: Clock(-time.Minute)}, {ID: 2, At: Clock(time.Hour)}}}.record(now)
	g.Expect(r.Seen).To(gomega.BeTemporally("<=", time.Now()))
	g.Expect(r.Crashes[0].At).To(gomega.BeTemporally("==", now.Add(-time.Minute)))
	g.Expect(slices.ContainsFunc(r.Crashes, func(o mangocrash.Occurrence) bool { return o.At.After(time.Now()) })).To(gomega.BeFalse())
}

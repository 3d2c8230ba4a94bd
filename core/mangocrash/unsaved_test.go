package mangocrash

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// saveAll saves all records of a table that has them due.
func saveAll(t *Table, rows map[mangomodel.Fingerprint]Record) {
	for list := t.Unsaved(); len(list) > 0; list = t.Unsaved() {
		for _, u := range list {
			if delete(rows, u.Call); !u.Empty() {
				rows[u.Call] = u.Record
			}
		}
		t.Saved(list)
	}
}

// TestSecondCrashIsSavedAtOnce guards against a call whose crashes are forgotten because all
// daemons are killed a second after the last of them, and against a write for each call that
// meets one crash and completes elsewhere.
func TestSecondCrashIsSavedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	table, now := New(WithSaving()), time.Now()
	table.RecordCrash(7, 1, now)
	g.Expect(table.Unsaved()[0].Due).To(gomega.Equal(now.Add(saveDelay)))
	table.RecordCrash(7, 2, now.Add(time.Millisecond))
	g.Expect(table.Unsaved()[0].Due).To(gomega.Equal(now.Add(time.Millisecond)))
	g.Expect(table.Unsaved()[0].Crashes).To(gomega.HaveLen(2))
	table.RecordCompletion(7, now)
	g.Expect(table.Unsaved()[0].Empty()).To(gomega.BeTrue())
	g.Expect(New().Unsaved()).To(gomega.BeEmpty())
}

// TestChangeDuringASaveIsSaved guards against a crash that counts as saved because an earlier
// state of its record was.
func TestChangeDuringASaveIsSaved(t *testing.T) {
	g := gomega.NewWithT(t)
	table, now := New(WithSaving()), time.Now()
	table.RecordCrash(7, 1, now)
	list := table.Unsaved()
	table.RecordCrash(7, 2, now)
	table.Saved(list)
	g.Expect(table.IsUnsaved(7)).To(gomega.BeTrue())
	g.Expect(table.Unsaved()[0].Crashes).To(gomega.HaveLen(2))
	table.Saved(table.Unsaved())
	g.Expect(table.Unsaved()).To(gomega.BeEmpty())
	table.Merge(Message{News: []Report{{Call: 7, Crashes: []Event{{ID: 3}}}}}, now)
	g.Expect(table.Unsaved()).To(gomega.BeEmpty(), "the daemon that saw a crash saves it")
	table.RecordArrival(7, now.Add(2*seenSaveInterval))
	g.Expect(table.Unsaved()).To(gomega.HaveLen(1), "the retention of a call that comes is saved")
}

// TestRestoredTableDecidesAlike guards against a daemon that starts anew and refuses other
// calls than before, or probes a call more often.
func TestRestoredTableDecidesAlike(t *testing.T) {
	for seed := range uint64(200) {
		g, random := gomega.NewWithT(t), rand.New(rand.NewPCG(55, seed))
		table, rows, now := New(WithSaving()), make(map[mangomodel.Fingerprint]Record), time.Now()
		for i := range 300 {
			call := mangomodel.Fingerprint(random.IntN(60))
			now = now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
			switch random.IntN(6) {
			case 0, 1, 2:
				table.RecordCrash(call, Incarnation(random.IntN(40)), now)
			case 3:
				table.RecordProbe(call, ProbeID(i), now)
			case 4:
				table.RecordArrival(call, now)
			case 5:
				table.RecordCompletion(call, now)
			}
			if random.IntN(10) == 0 {
				saveAll(table, rows)
			}
		}
		saveAll(table, rows)
		restored := New(WithSaving())
		for _, r := range rows {
			restored.Restore([]Record{r}, now)
		}
		g.Expect(restored.Verdicts()).To(gomega.Equal(table.Verdicts()), "seed %d", seed)
		for call := range mangomodel.Fingerprint(60) {
			g.Expect(restored.Crashes(call, now)).To(gomega.Equal(table.Crashes(call, now)), "seed %d, call %d", seed, call)
		}
		g.Expect(restored.Unsaved()).To(gomega.BeEmpty())
		restored.Restore([]Record{{Call: 99, Seen: now.Add(-Retention), Crashes: []Occurrence{{ID: 1, At: now}}}}, now)
		g.Expect(restored.Crashes(99, now)).To(gomega.BeZero())
	}
}

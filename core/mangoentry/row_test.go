package mangoentry

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// rowTable is a table with one row, which cannot be written.
type rowTable struct{ row mangomodel.Row }

func (t rowTable) Get(context.Context, mangomodel.TableKey) (mangomodel.Row, error) {
	return t.row, nil
}

func (rowTable) Put(context.Context, mangomodel.TableKey, []byte, mangomodel.RowVersion) (mangomodel.RowVersion, error) {
	return 0, mangomodel.Faultf(mangomodel.StepReserve, "table", mangomodel.CodeConflict, mangomodel.RunNot, "another version")
}

// TestRecordedStatusThatIsNoneIsAnUnknownOutcome guards against an outcome with status 000,
// as a server in trouble once gave it, that callers get again.
func TestRecordedStatusThatIsNoneIsAnUnknownOutcome(t *testing.T) {
	for status, sound := range map[int]bool{-1: false, 0: false, 99: false, 101: false, 199: false, 1000: false, 200: true, 404: true, 599: true, 999: true} {
		g := gomega.NewWithT(t)
		value, err := json.Marshal(Entry{State: Done, Token: "b/1", Response: Response{Status: status, Body: []byte("x")}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		l := NewLedger(rowTable{mangomodel.Row{Version: 3, Value: value}}, mangomodel.Holder{Daemon: "a"})
		_, existing, err := l.Reserve(t.Context(), "k", mangomodel.Fingerprint(1))
		_, found, lookupErr := l.Lookup(t.Context(), "k")
		if sound {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(existing.Response.Status).To(gomega.Equal(status))
			g.Expect(found).To(gomega.BeTrue())
			continue
		}
		g.Expect(mangomodel.HasCode(err, mangomodel.CodeUnknownOutcome)).To(gomega.BeTrue(), "status %d: %v", status, err)
		g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown))
		g.Expect(lookupErr).To(gomega.HaveOccurred())
	}
	for _, state := range []State{Reserved, Unknown} {
		g := gomega.NewWithT(t)
		value, err := json.Marshal(Entry{State: state, Token: "b/1"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		l := NewLedger(rowTable{mangomodel.Row{Version: 3, Value: value}}, mangomodel.Holder{Daemon: "a"})
		_, existing, err := l.Reserve(t.Context(), "k", mangomodel.Fingerprint(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(existing.State).To(gomega.Equal(state))
	}
}

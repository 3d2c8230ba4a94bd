package mangogateway

import (
	"fmt"
	"io"
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestAbortedExchangeNamesItsParts guards against crashes of servers that the logs
// cannot trace to what the aborted calls have in common.
func TestAbortedExchangeNamesItsParts(t *testing.T) {
	core, logs := zapobserver.New(zap.InfoLevel)
	call := &mangotraffic.Call{ID: "r", Parts: []mangomodel.PartID{"5c", "91"}}
	observer{logger: zap.New(core), metrics: newMetrics()}.ExchangeFinished(mangoexchange.Exchange{Call: call, Events: 2, Err: io.ErrUnexpectedEOF})
	fields := logs.All()[0].ContextMap()
	g := gomega.NewWithT(t)
	g.Expect(fields["Parts"]).To(gomega.Equal(call.Parts))
	g.Expect(fields["Events"]).To(gomega.BeEquivalentTo(2))
}

// TestServersChangedIsBounded checks that a large list is logged in one line.
func TestServersChangedIsBounded(t *testing.T) {
	tests := []struct {
		changes int
		full    bool
		lines   int
		message string
	}{
		{1, false, 1, "server listed"},
		{maxLoggedChanges, false, maxLoggedChanges, "server listed"},
		{maxLoggedChanges + 1, false, 1, "servers listed"},
		{2, true, 1, "servers listed"},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.changes, test.full), func(t *testing.T) {
			core, logs := zapobserver.New(zap.InfoLevel)
			cmd := mangofleet.ChangeServers{Full: test.full}
			for i := range test.changes {
				cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: mangomodel.ServerID(fmt.Sprint(i))})
			}
			observer{logger: zap.New(core), metrics: newMetrics()}.ServersChanged(cmd)
			if logs.Len() != test.lines || logs.FilterMessage(test.message).Len() != test.lines {
				t.Errorf("%d lines: %v", logs.Len(), logs.All())
			}
		})
	}
}

package mangogateway

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
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

// TestListedBuildIsLogged guards against streams that end for lack of a build that no line
// names.
func TestListedBuildIsLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, build := range []mangomodel.Build{"2.1", ""} {
		core, logs := zapobserver.New(zap.InfoLevel)
		change := mangotraffic.ServerChange{ID: "s1", Server: &mangotraffic.Server{ID: "s1", Build: build}}
		observer{logger: zap.New(core), metrics: newMetrics()}.ServersChanged(mangofleet.ChangeServers{Changes: []mangotraffic.ServerChange{change}})
		server := logs.All()[0].ContextMap()["Server"].(map[string]any)
		if build == "" {
			g.Expect(server).NotTo(gomega.HaveKey("Build"))
		} else {
			g.Expect(server).To(gomega.HaveKeyWithValue("Build", string(build)))
		}
	}
}

// TestEntriesLeftOutAreLogged guards against an entry that an operator cannot find, and
// against a line for each of very many.
func TestEntriesLeftOutAreLogged(t *testing.T) {
	core, logs := zapobserver.New(zap.InfoLevel)
	problems := make([]mangoworkspace.Problem, maxLoggedChanges+5)
	problems[0] = mangoworkspace.Problem{Workspace: "hats", Field: "f", Value: "-1", Want: "more"}
	observer{logger: zap.New(core), metrics: newMetrics()}.EntriesLeftOut(7, problems)
	g := gomega.NewWithT(t)
	g.Expect(logs.All()[0].ContextMap()).To(gomega.Equal(map[string]any{"Revision": uint64(7), "Workspace": "hats", "Field": "f", "Value": "-1", "Want": "more"}))
	g.Expect(logs.Len()).To(gomega.Equal(maxLoggedChanges + 1))
	g.Expect(logs.All()[maxLoggedChanges].ContextMap()).To(gomega.HaveKeyWithValue("More", int64(5)))
}

// TestAnnouncementsAreLogged guards against an announcement whose request, server or time
// an operator cannot find.
func TestAnnouncementsAreLogged(t *testing.T) {
	core, logs := zapobserver.New(zap.InfoLevel)
	o := observer{logger: zap.New(core), metrics: newMetrics()}
	ref := mangotraffic.ServerRef{ID: "s"}
	o.ServerWithdrawn(ref, "r", "")
	o.BackoffAsked(mangolease.Announcement{Request: "r", Server: ref, Backoff: time.Second})
	o.BackoffAsked(mangolease.Announcement{Request: "r", Server: ref, Invalid: errors.New("NaN seconds")})
	o.ServerSkipped("r", "s", errors.New("server has asked for time"))
	messages := []string{"server withdrawn", "server asked for time", "server asked for an invalid time", "server skipped"}
	for i, line := range logs.All() {
		fields := line.ContextMap()
		if line.Message != messages[i] || fields["Request"] != "r" || fields["Server"] != "s" {
			t.Errorf("%s: %v", line.Message, fields)
		}
	}
	if logs.Len() != len(messages) {
		t.Errorf("%d lines", logs.Len())
	}
	for _, name := range []string{"Servers.Withdrawn", "Servers.BackedOff", "Servers.InvalidBackoff", "Servers.Skipped"} {
		if c, ok := o.metrics.registry.Get(name).(gometrics.Counter); !ok || c.Count() != 1 {
			t.Errorf("%s is not 1", name)
		}
	}
}

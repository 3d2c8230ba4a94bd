package mangoroute

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobackoff"
	"mangolane/core/mangocommand"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

// TestRefusalWithATimeIsNoCrash guards against an engine that asked for time and is
// suspected of a crash, and against a time that is not reported to the scheduler.
func TestRefusalWithATimeIsNoCrash(t *testing.T) {
	tests := []struct {
		peer       mangomodel.PeerName
		retryAfter time.Duration
		want       mangomodel.Usage
	}{
		{"d", 3 * time.Second, mangomodel.Usage{Refused: "d", Backoff: 3 * time.Second}},
		{"d", 0, mangomodel.Usage{Failed: "d"}},
		{"shard", 3 * time.Second, mangomodel.Usage{Failed: "d"}},
	}
	for _, test := range tests {
		g := gomega.NewWithT(t)
		f := mangomodel.NewFault(mangomodel.StepDecode, test.peer, mangomodel.CodeUnavailable, mangomodel.RunNot, errors.New("busy"))
		f.RetryAfter = test.retryAfter
		a := &attempt{state: &requestState{}}
		a.recordFailure(t.Context(), f, "d")
		g.Expect(a.usage).To(gomega.Equal(test.want))
		g.Expect(a.state.avoid).To(gomega.ConsistOf(mangomodel.ServerID("d")))
	}
}

// TestGrantBeforeTheTimeIsNotUsed guards against a request under an older grant to an
// engine that has asked this daemon for time since, for no longer than is allowed.
func TestGrantBeforeTheTimeIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		control := mangocommand.New(mangomember.Member{Daemon: "a"})
		go control.Run(ctx)
		generator, r := New(control, nil, nil), &requestState{}
		code := func() mangomodel.Code {
			_, err := generator.server(mangomodel.StepPrefill, "p", r)
			return mangomodel.AsFault(err, 0).Code
		}
		g.Expect(control.Do(ctx, mangocommand.MarkBackoff{Server: "p", For: time.Hour})).To(gomega.Succeed())
		g.Expect(control.Do(ctx, mangocommand.MarkBackoff{Server: "p", For: -time.Hour})).To(gomega.Succeed())
		time.Sleep(mangobackoff.Longest - 1)
		g.Expect(code()).To(gomega.Equal(mangomodel.CodeOverloaded))
		g.Expect(r.avoid).To(gomega.ConsistOf(mangomodel.ServerID("p")))
		time.Sleep(time.Nanosecond)
		g.Expect(code()).To(gomega.Equal(mangomodel.CodeUnavailable), "it is not configured here")
	})
}

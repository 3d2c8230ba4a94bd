package mangorelay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoexchange"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoshutdown"
)

// wasteLog keeps the records of wasted prefills.
type wasteLog struct {
	nopObserver
	causes []mangoexchange.WasteCause
	tokens mangomodel.Tokens
}

func (l *wasteLog) PrefillWasted(w mangoexchange.Waste) {
	l.causes = append(l.causes, w.Cause)
	l.tokens += w.Tokens
}

// TestWastedPrefillsAreCountedByCause guards against prefills that engines computed for
// nothing and that no figure shows, or shows under another cause.
func TestWastedPrefillsAreCountedByCause(t *testing.T) {
	refused := step{status: 503, notRun: true}
	tests := []struct {
		name   string
		target string
		script func(h *harness)
		// leaves ends the client's context, and stops the daemon, after a time.
		leaves, stops time.Duration
		want          []mangoexchange.WasteCause
	}{
		{name: "none", target: "/resume/1", script: func(h *harness) {
			h.servers.runs["d1"] = []step{{events: events(1, 2)}}
		}},
		{name: "client leaves before the first event", target: "/resume/1", leaves: 300 * time.Millisecond, script: func(h *harness) {
			h.servers.runs["d1"] = []step{{responseDelay: time.Minute}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteClientLeft}},
		{name: "client leaves during the prefill", target: "/resume/1", leaves: 10 * time.Millisecond, script: func(*harness) {},
			want: []mangoexchange.WasteCause{mangoexchange.WasteClientLeft}},
		{name: "client leaves within the stream", target: "/resume/1", leaves: 150 * time.Millisecond, script: func(h *harness) {
			h.servers.runs["d1"] = []step{{events: events(1, 100)}}
		}},
		{name: "engine lost within the stream", target: "/resume/1", script: func(h *harness) {
			h.servers.runs["d1"] = []step{{events: events(1, 2), aborted: true}}
			h.servers.runs["d2"] = []step{{events: events(3, 4)}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteEngineLost}},
		{name: "engine lost before a stream that cannot be repeated", target: "/once/1", script: func(h *harness) {
			h.servers.runs["d1"] = []step{{err: errNoReply}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteEngineLost}},
		{name: "prefill engine lost", target: "/resume/1", script: func(h *harness) {
			h.servers.prefills["p1"] = []step{{err: errNoReply}}
			h.servers.runs["d1"] = []step{{events: events(1, 2)}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteEngineLost}},
		{name: "prefill engine not reached", target: "/resume/1", script: func(h *harness) {
			h.servers.prefills["p1"] = []step{{err: errNoConn}}
			h.servers.runs["d1"] = []step{{events: events(1, 2)}}
		}},
		{name: "one decode engine refuses, the other takes it", target: "/resume/1", script: func(h *harness) {
			h.servers.runs["d1"] = []step{refused}
			h.servers.runs["d2"] = []step{{events: events(1, 2)}}
		}},
		{name: "both decode engines refuse, and the cache counts as lost", target: "/resume/1", script: func(h *harness) {
			h.servers.runs["d1"] = []step{refused, {events: events(1, 2)}}
			h.servers.runs["d2"] = []step{refused, {events: events(1, 2)}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteDecodeRefused}},
		{name: "refused for longer than the handle lives", target: "/resume/1", script: func(h *harness) {
			late := refused
			late.responseDelay = 400 * time.Millisecond
			h.servers.runs["d1"] = []step{late}
			h.servers.runs["d2"] = []step{{events: events(1, 2)}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteHandleExpired}},
		{name: "responsive engine preempts the stream", target: "/resume/1", script: func(h *harness) {
			h.servers.runs["d1"] = []step{{events: events(1, 2), stalls: true}}
			h.servers.runs["d2"] = []step{{events: events(3, 4)}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WastePreempted}},
		{name: "silent engine", target: "/resume/1", script: func(h *harness) {
			h.servers.runs["d1"] = []step{{events: events(1, 2), stalls: true}}
			h.servers.runs["d2"] = []step{{events: events(3, 4)}}
			h.servers.unreachable = map[mangomodel.ServerID]bool{"d1": true}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteEngineLost}},
		{name: "daemon stops", target: "/once/1", stops: 300 * time.Millisecond, script: func(h *harness) {
			h.servers.runs["d1"] = []step{{responseDelay: time.Minute}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteStopped}},
		{name: "late", target: "/once/1", script: func(h *harness) {
			h.servers.runs["d1"] = []step{{responseDelay: time.Minute}}
		}, want: []mangoexchange.WasteCause{mangoexchange.WasteLate}},
	}
	for _, test := range tests {
		for _, restricted := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				withHarness(t, func(h *harness) {
					h.newCall(test.target)
					if restricted {
						h.restrict("w")
					}
					log := &wasteLog{}
					h.relay.observer = log
					test.script(h)
					ctx, cancel := context.WithCancelCause(context.Background())
					defer cancel(nil)
					if test.leaves > 0 {
						time.AfterFunc(test.leaves, func() { cancel(errors.New("client left")) })
					}
					if test.stops > 0 {
						time.AfterFunc(test.stops, func() {
							h.relay.Drain(mangoshutdown.New(time.Now(), time.Second))
							h.relay.Stop()
						})
					}
					_ = h.relay.Serve(ctx, h.call, h.client)
					if !restricted {
						h.Expect(log.causes).To(gomega.BeEmpty())
						return
					}
					h.Expect(log.causes).To(gomega.Equal(test.want))
					h.Expect(log.tokens).To(gomega.BeEquivalentTo(100 * len(test.want)))
				})
			})
		}
	}
}

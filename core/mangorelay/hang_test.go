package mangorelay

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// hang is a step of a server that takes a request and says nothing.
var hang = step{responseDelay: time.Minute}

func TestHangEndsWithAnAnswerBeforeTheClientLeaves(t *testing.T) {
	const clientLeaves = 4 * time.Second
	tests := []struct {
		name          string
		target        string
		prefill, runs map[mangomodel.ServerID]step
		// body is that of a call that another server answers, and run that of the
		// fault of a call that none answers.
		body string
		run  mangomodel.Run
	}{
		{"prefill", "/once/1", map[mangomodel.ServerID]step{"p1": hang}, nil, "12", 0},
		{"all prefill servers", "/once/1", map[mangomodel.ServerID]step{"p1": hang, "p2": hang}, nil, "", mangomodel.RunNot},
		{"start of a resumable stream", "/resume/1", nil, map[mangomodel.ServerID]step{"d1": hang}, "12", 0},
		{"start of a resumable stream after its head", "/resume/1", nil, map[mangomodel.ServerID]step{"d1": {events: []mangotraffic.EventID{}, stalls: true}}, "12", 0},
		{"start of a resumable stream everywhere", "/resume/1", nil, map[mangomodel.ServerID]step{"d1": hang, "d2": hang}, "", mangomodel.RunUnknown},
		{"start of a stream that runs once", "/once/1", nil, map[mangomodel.ServerID]step{"d1": hang}, "", mangomodel.RunUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.newCall(test.target)
				for _, id := range ids("d1", "d2") {
					h.servers.runs[id] = []step{{events: events(1, 2)}}
				}
				for id, x := range test.runs {
					h.servers.runs[id] = []step{x}
				}
				for id, x := range test.prefill {
					h.servers.prefills[id] = []step{x}
				}
				began := time.Now()
				fault := h.serve()
				h.Expect(time.Since(began)).To(gomega.BeNumerically("<", clientLeaves))
				h.Expect(h.client.body).To(gomega.Equal(test.body))
				if test.body != "" {
					h.Expect(fault).To(gomega.BeNil())
					return
				}
				h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeTimeout))
				h.Expect(fault.Run).To(gomega.Equal(test.run))
				h.Expect(fault.RetryAfter > 0).To(gomega.Equal(test.run == mangomodel.RunNot))
			})
		})
	}
}

// TestStartLimitHoldsForStreams guards against a limit that ends calls whose clients
// wait for their deadline, and against a stream of a plain server without one.
func TestStartLimitHoldsForStreams(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/batch/1")
		h.servers.runs["d1"] = []step{{responseDelay: 6 * time.Second, body: "a"}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.client.body).To(gomega.Equal("a"))

		h.newCall("/feed/1")
		h.servers.runs["s1"], h.servers.runs["s2"] = []step{hang}, []step{hang}
		began := time.Now()
		fault := h.serve()
		h.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeTimeout))
		h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunUnknown))
	})
}

func TestSilentSecondOfAPrefillServerIsTolerated(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.newCall("/once/1")
		h.servers.prefills["p1"] = []step{{responseDelay: 1400 * time.Millisecond}}
		h.servers.silentUntil = map[mangomodel.ServerID]time.Time{"p1": time.Now().Add(1400 * time.Millisecond)}
		h.servers.runs["d1"] = []step{{events: events(1, 1)}}
		h.Expect(h.serve()).To(gomega.BeNil())
		h.Expect(h.servers.sent).To(gomega.Equal(ids("p1", "d1")))
	})
}

func TestStopAnswersTheCallsInProgress(t *testing.T) {
	tests := []struct {
		name          string
		target        string
		prefill, runs map[mangomodel.ServerID]step
		run           mangomodel.Run
	}{
		{"prefill", "/once/1", map[mangomodel.ServerID]step{"p1": hang}, nil, mangomodel.RunNot},
		{"start of a stream", "/once/1", nil, map[mangomodel.ServerID]step{"d1": hang}, mangomodel.RunUnknown},
		{"plain call", "/call/1", nil, map[mangomodel.ServerID]step{"s1": hang}, mangomodel.RunUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.newCall(test.target)
				for id, x := range test.runs {
					h.servers.runs[id] = []step{x}
				}
				for id, x := range test.prefill {
					h.servers.prefills[id] = []step{x}
				}
				time.AfterFunc(200*time.Millisecond, h.relay.Stop)
				fault := h.serve()
				h.Expect(fault.Code).To(gomega.Equal(mangomodel.CodeUnavailable))
				h.Expect(fault.Run).To(gomega.Equal(test.run))
			})
		})
	}
}

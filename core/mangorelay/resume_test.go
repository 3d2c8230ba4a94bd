package mangorelay

import (
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestResumedStreamIgnoresForeignAnswers guards against a second response head and
// a foreign body within a stream: the server that a stream continues at may answer
// with a plain body, an error status or events without ids.
func TestResumedStreamIgnoresForeignAnswers(t *testing.T) {
	tests := []struct {
		name   string
		second step
		body   string
	}{
		{"plain body", step{body: "oops"}, "12"},
		{"error status", step{status: 500, body: "oops"}, "12"},
		{"events without ids", step{events: []mangotraffic.EventID{0, 0}}, "12"},
		{"events after a gap", step{events: events(4, 6)}, "12"},
		{"old events and events after a gap", step{events: []mangotraffic.EventID{1, 2, 5}}, "12"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.newCall("/resume/1")
				h.servers.runs["d1"] = []step{{events: events(1, 2), aborted: true}}
				h.servers.runs["d2"] = []step{test.second}
				fault := h.serve()
				h.Expect(h.client.begun).To(gomega.Equal(1))
				h.Expect(h.client.body).To(gomega.Equal(test.body))
				h.Expect(fault).NotTo(gomega.BeNil())
				h.Expect(fault.Run).To(gomega.Equal(mangomodel.RunUnknown))
			})
		})
	}
}

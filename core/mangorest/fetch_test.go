package mangorest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// TestFetchBoundsSilence lists what a peer may do with the time of an answer.
func TestFetchBoundsSilence(t *testing.T) {
	const silence = 200 * time.Millisecond
	tests := []struct {
		name string
		// first is the time to the first part, between that to each of the
		// other parts.
		first, between time.Duration
		parts          int
		whole          bool
	}{
		{"at once", 0, 0, 1, true},
		{"a long answer that goes on", 0, silence / 4, 12, true},
		{"a long read", 2 * silence, 0, 1, true},
		{"nothing", 5 * silence, 0, 1, false},
		{"nothing after the first part", 0, 3 * silence, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for i := range test.parts {
					pause := test.between
					if i == 0 {
						pause = test.first
					}
					time.Sleep(pause)
					_, _ = w.Write([]byte("x"))
					_ = http.NewResponseController(w).Flush()
				}
			}))
			defer server.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, data, err := NewClient("peer", "127.0.0.1:1").Fetch(mangomodel.StepConfigure, req, 3*silence, silence)
			if !test.whole {
				g.Expect(err).To(gomega.HaveOccurred())
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(data)).To(gomega.Equal(strings.Repeat("x", test.parts)))
		})
	}
}

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

// TestFetchTimeouts covers peers that respond at different speeds. A response that
// keeps arriving must complete although it takes longer than the data timeout;
// a pause beyond a timeout must end the call.
func TestFetchTimeouts(t *testing.T) {
	const idle = 200 * time.Millisecond
	tests := []struct {
		name string
		// first is the delay before the first part, between the delay before
		// each further part.
		first, between time.Duration
		parts          int
		complete       bool
	}{
		{"immediate response", 0, 0, 1, true},
		{"long response in many parts", 0, idle / 4, 12, true},
		{"slow first part", 2 * idle, 0, 1, true},
		{"no response", 5 * idle, 0, 1, false},
		{"no data after the first part", 0, 3 * idle, 2, false},
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
			f, err := NewClient("peer", "127.0.0.1:1").Fetch(mangomodel.StepConfigure, req, 3*idle, idle)
			if !test.complete {
				g.Expect(err).To(gomega.HaveOccurred())
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(f.Body)).To(gomega.Equal(strings.Repeat("x", test.parts)))
		})
	}
}

package mangoplatform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
)

func TestMalformedHostHidesNoOtherHost(t *testing.T) {
	deep := strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)
	for _, odd := range []string{
		`{"Host":"odd","State":"Asleep"}`, `{"Host":7,"State":"Leaving"}`, `{"Host":"odd","State":1e999}`,
		`{"Host":"odd","State":` + deep + `}`, `[]`, `7`, `null`, `{}`,
	} {
		t.Run(odd[:min(len(odd), 40)], func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"Hosts":[{"Host":"a","State":"Leaving"},%s,{"Host":"b","State":"Live"},{"Host":"c","State":"Leaving"}]}`, odd)
			}))
			defer server.Close()
			leaving, err := New(mangomodel.Address(strings.TrimPrefix(server.URL, "http://"))).Leaving(context.Background())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(leaving).To(gomega.Equal([]mangomodel.ServerID{"a", "c"}))
		})
	}
}

// TestBrokenAnswerDoesNotProveAWrite guards against a write of the table service that counts
// as done, or as not done, after an answer that is none.
func TestBrokenAnswerDoesNotProveAWrite(t *testing.T) {
	mangorest.DisableFrameworkLog()
	const body = `{"Version":4}`
	fields := fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 Broken\r\n" + fields,
		"blank in a name":        "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + fields,
		"blank before the colon": "HTTP/1.1 200 OK\r\n" + strings.ReplaceAll(fields, ":", " :"),
		"conflict":               "HTTP/1.1 409 Conflict\r\nName : x\r\n" + fields,
		"interim response":       "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, head+body)
			}))
			defer server.Close()
			p := New(mangomodel.Address(server.Listener.Addr().String()))
			_, err := p.Put(t.Context(), "k", []byte("v"), 3)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(mangomodel.HasCode(err, mangomodel.CodeConflict)).To(gomega.BeFalse())
			g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown))
			_, err = p.GetObject(t.Context(), "o")
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
}

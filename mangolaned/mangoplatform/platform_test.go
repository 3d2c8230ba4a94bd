package mangoplatform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
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

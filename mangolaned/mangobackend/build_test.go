package mangobackend

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
)

// TestBuildOfAnEngineIsRead guards against builds that are all taken for the empty one.
func TestBuildOfAnEngineIsRead(t *testing.T) {
	mangorest.DisableFrameworkLog()
	for field, want := range map[string]mangomodel.Build{`,"Build":"2.1"`: "2.1", "": ""} {
		g := gomega.NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case mangowire.PathLoad:
				fmt.Fprintf(w, `{"Boot":"1"%s}`, field)
			case mangowire.PathDecode:
				fmt.Fprintf(w, `{"Request":"r","Attempt":1,"Offset":0,"Text":"a","Last":true%s}`, field)
			}
		}))
		host := mangoconfig.Host{ID: "s0", Address: mangomodel.Address(strings.TrimPrefix(server.URL, "http://"))}
		ctx, cancel := context.WithCancel(t.Context())
		load, _, err := New().Load(ctx, host)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(load.Build).To(gomega.Equal(want))
		chunks, _ := readAll(ctx, host)
		g.Expect(chunks).To(gomega.HaveLen(1))
		g.Expect(chunks[0].Build).To(gomega.Equal(want))
		cancel()
		server.Close()
	}
}

package mangofront

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeromicro/go-zero/rest/router"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangoroute"
	"mangolane/core/mangowire"
)

// keyHash is the SHA-256 of "key".
const keyHash = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"

// fixture is the control state, the generator and the caller of a Handler under
// test.
type fixture struct {
	snapshot mangoquery.Snapshot
	// tokens are written by Generate before it returns err.
	tokens []string
	err    error
	// called is the last request passed to Call.
	called mangoentry.Request
}

func (f *fixture) Snapshot() *mangoquery.Snapshot { return &f.snapshot }

func (f *fixture) Generate(_ context.Context, _ mangoroute.Request, sink mangoroute.Sink) error {
	for i, text := range f.tokens {
		if err := sink.Token(mangomodel.Tokens(i), text); err != nil {
			return err
		}
	}
	return f.err
}

func (f *fixture) Call(_ context.Context, req mangoentry.Request) (mangoentry.Response, error) {
	f.called = req
	return mangoentry.Response{Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("done")}, f.err
}

func newFixture(t *testing.T) *fixture {
	no := false
	targets := &mangoconfig.Targets{TTFT: mangomodel.Duration(time.Second), TPOT: mangomodel.Duration(time.Second)}
	catalog, err := mangoconfig.FromDocuments(mangoconfig.Documents{
		Revision:  2,
		Templates: []mangoconfig.Versioned[mangoconfig.Template]{{Value: mangoconfig.Template{ID: "t"}}},
		Workspaces: []mangoconfig.Versioned[mangoconfig.Workspace]{{Value: mangoconfig.Workspace{ID: "w", Template: "t", Settings: mangoconfig.Settings{
			Models: []mangomodel.ModelID{"m"}, Urgent: targets, Basic: targets, KeyHash: keyHash,
			Calls: []mangoconfig.Call{{Name: "lookup", Service: "s", Path: "/lookup", NonIdempotent: &no}},
		}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{snapshot: mangoquery.Snapshot{Catalog: catalog, Self: mangomember.Member{Daemon: "a", Incarnation: 1}}}
}

// serve sends one request through the Handler's routes.
func (f *fixture) serve(t *testing.T, path, key, body string) *httptest.ResponseRecorder {
	r := router.NewRouter()
	for _, route := range New(f, f, f, WithMaxTokens(10)).Routes() {
		if err := r.Handle(route.Method, route.Path, route.Handler); err != nil {
			t.Fatal(err)
		}
	}
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set(mangowire.HeaderKey, "Bearer "+key)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	return w
}

// validRequest is accepted unchanged.
const validRequest = `{"Workspace":"w","Model":"m","Rank":"Urgent","Prompt":"hat","MaxTokens":3}`

func TestGenerateChecksRequest(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		key      string
		status   int
		want     string
	}{
		{"valid", "", "", "key", 200, `"Done":true`},
		{"wrong key", "", "", "lock", 401, "does not match"},
		{"unknown workspace", `"w"`, `"x"`, "key", 401, "does not match"},
		{"unknown model", `"m"`, `"x"`, "key", 404, "no model"},
		{"unknown rank", "Urgent", "Soon", "key", 400, "Soon"},
		{"unknown field", `"Prompt"`, `"Promt"`, "key", 400, "line 1, column"},
		{"empty prompt", `"hat"`, `""`, "key", 400, "Prompt is empty"},
		{"too many tokens", `"MaxTokens":3`, `"MaxTokens":11`, "key", 400, "between 1 and 10"},
		{"not JSON", validRequest, "hat", "key", 400, "line 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(t)
			f.tokens = []string{"a", "b"}
			w := f.serve(t, "/v1/generate", tt.key, strings.Replace(validRequest, tt.old, tt.new, 1))
			g.Expect(w.Code).To(gomega.Equal(tt.status))
			g.Expect(w.Body.String()).To(gomega.ContainSubstring(tt.want))
			if tt.status != http.StatusOK {
				g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"Run":"Not"`))
			}
		})
	}
}

func TestFaultBeforeAndAfterFirstToken(t *testing.T) {
	fault := mangomodel.NewFault(mangomodel.StepAdmission, "shard", mangomodel.CodeOverloaded, mangomodel.RunNot, errors.New("full"))
	fault.RetryAfter = 1500 * time.Millisecond
	t.Run("before", func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t)
		f.err = fault
		w := f.serve(t, "/v1/generate", "key", validRequest)
		g.Expect(w.Code).To(gomega.Equal(http.StatusTooManyRequests))
		g.Expect(w.Header().Get(mangowire.HeaderRetryAfter)).To(gomega.Equal("2"))
	})
	t.Run("after", func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t)
		f.tokens, f.err = []string{"a"}, fault
		w := f.serve(t, "/v1/generate", "key", validRequest)
		lines := strings.Split(strings.TrimSpace(w.Body.String()), "\n")
		g.Expect(lines).To(gomega.HaveLen(2))
		g.Expect(lines[1]).To(gomega.ContainSubstring(`"Fault"`))
		g.Expect(w.Body.String()).NotTo(gomega.ContainSubstring(`"Done"`))
	})
}

func TestCallForwardsServiceResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t)
	w := f.serve(t, "/v1/call/w/lookup", "key", "hat 7")
	g.Expect(w.Code).To(gomega.Equal(http.StatusCreated))
	g.Expect(w.Body.String()).To(gomega.Equal("done"))
	g.Expect(string(f.called.Body)).To(gomega.Equal("hat 7"))
	g.Expect(f.serve(t, "/v1/call/w/other", "key", "").Code).To(gomega.Equal(http.StatusNotFound))
}

func TestStoppingDaemonRefusesRequestsAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t)
	f.snapshot.Stopping = true
	for _, path := range []string{"/v1/generate", "/v1/call/w/lookup"} {
		w := f.serve(t, path, "key", validRequest)
		g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"Run":"Not"`))
	}
}

package mangoprocess_test

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangowire"
)

// TestOperatorsCommandLine checks the commands and queries of mangolanectl
// against running daemons: a published change becomes active at the other
// daemon, and a stale document and the join of an unannounced host are refused
// with a reason.
func TestOperatorsCommandLine(t *testing.T) {
	s := newSite(t)
	out, err := s.ctl("command", "leave", "d0")
	s.g.Expect(err).NotTo(gomega.HaveOccurred(), out)
	s.g.Expect(strings.TrimSpace(out)).To(gomega.Equal("8"), "the new revision")
	s.g.Eventually(func() int { return int(s.status("a2").Revision) }, 8*time.Second).Should(gomega.Equal(8))
	out, err = s.ctl("query", "configuration")
	s.g.Expect(err).NotTo(gomega.HaveOccurred(), out)
	s.g.Expect(out).To(gomega.ContainSubstring(`"Leaving"`))

	stale := filepath.Join(s.dir, "stale.json")
	s.g.Expect(os.WriteFile(stale, []byte(`{"Expect": 0, "Pool": {"Model": "summary-llm", "PieceTokens": 1, "KVBytesPerToken": 1, "LinkRate": 1}}`), 0o600)).To(gomega.Succeed())
	out, err = s.ctl("command", "publish", stale)
	s.g.Expect(err).To(gomega.HaveOccurred())
	s.g.Expect(out).To(gomega.ContainSubstring("expected revision 0, the document is at 1"))

	out, err = s.ctl("command", "join", "nobody")
	s.g.Expect(err).To(gomega.HaveOccurred())
	s.g.Expect(out).To(gomega.ContainSubstring("not announced"))
	for _, query := range []string{"status", "metrics"} {
		out, err = s.ctl("query", query)
		s.g.Expect(err).NotTo(gomega.HaveOccurred(), out)
	}
}

// TestTraceHasASpanForEachHop checks that the spans of both daemons together
// cover every step of a generation request. If a daemon does not pass on the
// trace context, the spans of the other daemon are missing.
func TestTraceHasASpanForEachHop(t *testing.T) {
	s := newSite(t)
	body := `{"Workspace":"demo","Model":"summary-llm","Rank":"Urgent","Prompt":"hat 7","MaxTokens":3}`
	steps := make(map[string]bool)
	daemons := make(map[string]bool)
	for _, id := range []string{"a1", "a2"} {
		req, err := http.NewRequest(http.MethodPost, "http://"+string(s.addrs[id+"front"])+mangowire.PathGenerate, strings.NewReader(body))
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		req.Header.Set(mangowire.HeaderKey, "Bearer key")
		resp, err := http.DefaultClient.Do(req)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		var stream bytes.Buffer
		_, err = stream.ReadFrom(resp.Body)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		s.g.Expect(stream.String()).To(gomega.ContainSubstring(`"Done":true`))
		trace := strings.Split(resp.Header.Get("Traceparent"), "-")[1]
		time.Sleep(3 * time.Second)
		for _, daemon := range []string{"a1", "a2"} {
			var traces struct{ Spans []struct{ Name string } }
			s.g.Expect(s.get(daemon+"admin", mangowire.PathTraces+"?Trace="+trace, &traces)).To(gomega.Succeed())
			for _, span := range traces.Spans {
				steps[span.Name] = true
				daemons[daemon] = true
			}
		}
	}
	for _, step := range []string{"/v1/generate", "Admission", "Prefill", "Transfer", "Decode", "Release"} {
		s.g.Expect(steps).To(gomega.HaveKey(step))
	}
	s.g.Expect(daemons).To(gomega.HaveLen(2))
}

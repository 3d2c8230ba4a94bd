package mangoexplain

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// logs holds lines of several daemons, not ordered by time.
const logs = `{"Daemon":"d1","Time":"2026-12-04T10:00:01.5Z","Message":"server listed","Server":{"ID":"s1","Gone":true},"From":"platform"}
{"Daemon":"d1","Time":"2026-12-04T10:00:02.2Z","Message":"call finished","Request":"r1","Attempts":2,"Step":"Admission","Code":"Overloaded","Run":"Not","Cause":"no room"}
{"Daemon":"d1","Time":"2026-12-04T10:00:02.3Z","Message":"call finished","Request":"r2","Status":200,"OnTime":true}
goroutine 1 [running]:
{"Daemon":"d1","Time":"2026-12-04T10:00:01.4Z","Message":"server listed","Server":{"ID":"s9"}}
{"Daemon":"d3","Time":"2026-12-04T10:00:01.8Z","Message":"platform lost","Cause":"at another daemon"}
{"Daemon":"d1","Time":"2026-12-04T09:59:00Z","Message":"platform lost","Cause":"long before"}
{"Daemon":"d2","Time":"2026-12-04T10:00:01.7Z","Message":"platform lost","Cause":"timeout"}
{"Daemon":"d1","Time":"2026-12-04T10:00:01.6Z","Message":"exchange failed","Request":"r1","Server":"s1","Scheduler":"d2","Cause":"reset"}
{"Daemon":"d1","Time":"2026-12-04T10:00:02.4Z","Message":"exchange failed","Request":"r3","Server":"s1"}
{"Daemon":"d1","Time":"2026-12-04T10:01:01Z","Message":"server withdrawn","Request":"r6","Server":"s5"}
{"Daemon":"d1","Time":"2026-12-04T10:01:02Z","Message":"server asked for time","Request":"r7","Server":"s6","For":3}
{"Daemon":"d1","Time":"2026-12-04T10:01:02Z","Message":"server asked for time","Request":"r7","Server":"s7","For":3}
{"Daemon":"d1","Time":"2026-12-04T10:01:03Z","Message":"server skipped","Request":"r5","Server":"s5","Cause":"server is leaving or no longer listed"}
{"Daemon":"d1","Time":"2026-12-04T10:01:03.1Z","Message":"server skipped","Request":"r5","Server":"s6","Cause":"server has asked for time, of which 2s is left"}
{"Daemon":"d1","Time":"2026-12-04T10:01:04Z","Message":"call finished","Request":"r5","Code":"Overloaded","Step":"Admission","Run":"Not","Cause":"all servers of a have asked for time: 2 listed, 1 leaving, 0 set aside, 1 backing off"}
{"Daemon":"d1","Time":"2026-12-04T10:02:00Z","Message":"configuration entry left out","Revision":7,"Workspace":"hats","Field":"api-keys[1]","Value":"a number"}
{"Daemon":"d1","Time":"2026-12-04T10:02:01Z","Message":"call finished","Request":"r8","Route":"read","Key":"1f2e3d4c","Step":"Authorise","Code":"Unauthorised","Run":"Not","EndedBy":"Admission","Cause":"unknown key, want the key of a workspace (revision 7, confirmed 40ms ago, route read)"}
{"Daemon":"d1","Time":"2026-12-04T10:00:05Z","Message":"call finished","Request":"r4","Status":200,"OnTime":false,"First":1.5,"LongestPause":0.1,"Attempts":1}
{"Daemon":"d1","Time":"2026-12-04T10:02:00Z","Message":"call finished","Request":"r11","Step":"Admission","Code":"QuotaExceeded","Run":"Not","Workspace":"acme","Unit":"Tokens","Rate":29000,"Burst":29000,"Cost":7000,"Used":28000,"UsedAge":0.04,"Alone":false,"Cause":"workspace acme may use 29000 Tokens/s with a burst of 29000; the call costs 7000, and 28000 of the burst were used 40ms ago"}
{"Daemon":"d1","Time":"2026-12-04T10:03:00Z","Message":"service has several builds","Service":"mixa34a","Builds":["2.1","2.2"]}
{"Daemon":"d1","Time":"2026-12-04T10:03:01Z","Message":"call finished","Request":"r12","Step":"Admission","Code":"CannotResume","Run":"Not","Cause":"no record names its build"}
`

func messages(lines []Line) []string {
	var list []string
	for _, line := range lines {
		list = append(list, line.Message)
	}
	return list
}

func TestRead(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := Read(strings.NewReader(logs), "r1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(messages(r.Steps)).To(gomega.Equal([]string{"exchange failed", "call finished"}))
	g.Expect(messages(r.Context)).To(gomega.Equal([]string{"server listed", "platform lost"}), "only of the request's servers and daemons, within the context time")
	g.Expect(r.Outcome.Fields).To(gomega.HaveKeyWithValue("Cause", "no room"))
	g.Expect(r.Unreadable).To(gomega.Equal(1))
}

// TestAnnouncementsExplainOtherRequests guards against a cause that is lost because the
// server announced it in the answer to another request.
func TestAnnouncementsExplainOtherRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := Read(strings.NewReader(logs), "r5")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(messages(r.Steps)).To(gomega.Equal([]string{"server skipped", "server skipped", "call finished"}))
	g.Expect(messages(r.Context)).To(gomega.Equal([]string{"server withdrawn", "server asked for time"}), "only of the request's servers")
	g.Expect(cause(r)).To(gomega.ContainSubstring("1 leaving, 0 set aside, 1 backing off"))
}

// TestUnknownKeyIsTheCause guards against a refused key that is not named as the cause, and
// against a mistake in the configuration that is not shown beside it.
func TestUnknownKeyIsTheCause(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := Read(strings.NewReader(logs), "r8")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(messages(r.Context)).To(gomega.Equal([]string{"configuration entry left out"}))
	g.Expect(cause(r)).To(gomega.Equal("Unauthorised at step Authorise: unknown key, want the key of a workspace " +
		"(revision 7, confirmed 40ms ago, route read) (it was not run), ended by Admission"))
}

func TestUnknownRequestIsNotFound(t *testing.T) {
	_, err := Read(strings.NewReader(logs), "r9")
	gomega.NewWithT(t).Expect(mangomodel.HasCode(err, mangomodel.CodeNotFound)).To(gomega.BeTrue())
}

// TestBuildsAreContextOfARefusedStream guards against a refusal that no line explains: a
// stream that is refused at once has no server.
func TestBuildsAreContextOfARefusedStream(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := Read(strings.NewReader(logs), "r12")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(messages(r.Context)).To(gomega.Equal([]string{"service has several builds"}))
}

func TestCause(t *testing.T) {
	tests := []struct {
		id   mangomodel.RequestID
		want string
	}{
		{"r1", "Cause: Overloaded at step Admission: no room (it was not run)"},
		{"r2", "Cause: none, it was answered in time"},
		{"r3", "Cause: the logs do not say how it ended"},
		{"r11", "Cause: QuotaExceeded at step Admission: workspace acme may use 29000 Tokens/s with a burst of 29000; the call costs 7000, and 28000 of the burst were used 40ms ago (it was not run)"},
		{"r12", "Cause: CannotResume at step Admission: no record names its build (it was not run)"},
		{"r4", "Cause: answered late: first after 1.5 s, longest pause 0.1 s, 1 attempts"},
	}
	for _, test := range tests {
		t.Run(string(test.id), func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, err := Read(strings.NewReader(logs), test.id)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var out strings.Builder
			g.Expect(WriteText(&out, r)).To(gomega.Succeed())
			g.Expect(out.String()).To(gomega.ContainSubstring(test.want))
		})
	}
}

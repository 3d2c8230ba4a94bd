package mangosettings

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// minimal is a valid document with only the required fields.
const minimal = `{
  "Daemon": "a1", "Region": "r", "DataCentre": "dc",
  "Front": "127.0.0.1:1", "Admin": "127.0.0.1:2", "Peer": "127.0.0.1:3", "Platform": "127.0.0.1:4",
  "OperatorKeyHash": "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"
}`

func TestParse(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"minimal", "", "", ""},
		{"unknown field", `"Daemon"`, `"Deamon": 1, "Daemon"`, `line 2`},
		{"wrong type", `"a1"`, `7`, "line 2"},
		{"syntax", `"a1",`, `"a1"`, "line 2"},
		{"trailing document", "b683\"\n}", "b683\"\n}{}", "more than one document"},
		{"no daemon", `"a1"`, `""`, "Daemon, Region and DataCentre"},
		{"host name", "127.0.0.1:1", "localhost:1", "IP addresses"},
		{"short hash", "2c70", "", "OperatorKeyHash"},
		{"interval too short", `"Daemon"`, `"ProbeInterval": "1us", "Daemon"`, "interval"},
		{"bad duration", `"Daemon"`, `"ProbeInterval": "soon", "Daemon"`, "duration"},
		{"negative limit", `"Daemon"`, `"MaxTokens": -1, "Daemon"`, "positive"},
		{"bad level", `"Daemon"`, `"LogLevel": "loud", "Daemon"`, "LogLevel"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := Parse([]byte(strings.Replace(minimal, tt.old, tt.new, 1)))
			if tt.want == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(tt.want)))
			g.Expect(mangomodel.HasCode(err, mangomodel.CodeInvalid)).To(gomega.BeTrue())
		})
	}
}

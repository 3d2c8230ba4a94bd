package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangoworkspace"
	"mangolane/mangolanectl/mangoreport"
)

const sound = `{"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","service":"s",
	"timeout-ms":9000}],"tenants":[{"name":"hats","api-keys":["secret-1"]}]}`

// file writes a file for the duration of the test.
func file(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	gomega.NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
	return path
}

// TestExitStatusTellsWarningsFromErrors guards against a script that sends a document whose
// check has failed.
func TestExitStatusTellsWarningsFromErrors(t *testing.T) {
	path := file(t, sound)
	unused := file(t, `{"tenants":[{"name":"hats","api-keys":7}]}`)
	kind := file(t, `{"routes":[{"name":"r","kind":"x"}]}`)
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"sound", []string{path}, 0},
		{"warnings", []string{path, "-grace", "8s"}, 0},
		{"strict", []string{"-strict", path, "--grace", "8s"}, 1},
		{"entry left out", []string{unused}, 2},
		{"unknown kind", []string{kind}, 2},
		{"no JSON", []string{file(t, "{")}, 2},
		{"no file", []string{path + "x"}, 2},
		{"none named", nil, 2},
		{"two files", []string{path, path}, 2},
		{"unknown flag", []string{path, "-x"}, 2},
		{"no earlier file", []string{path, "-against", path + "x"}, 2},
		{"no earlier JSON", []string{path, "-against", file(t, "")}, 2},
		{"earlier errors", []string{path, "-against", unused}, 0},
	}
	for _, test := range tests {
		status := exitStatus(run(context.Background(), append([]string{"config", "check"}, test.args...)))
		gomega.NewWithT(t).Expect(status).To(gomega.Equal(test.want), test.name)
	}
}

// TestReportUsesThePlatformsNamesAndShowsNoKey guards against a key in a terminal or a log of
// a build, and against fields that the document doesn't have.
func TestReportUsesThePlatformsNamesAndShowsNoKey(t *testing.T) {
	g := gomega.NewWithT(t)
	const changed = `{"services":[],"routes":[],"tenants":[{"name":"hats","api-keys":["secret-2","secret-3"],"rate-per-s":2},{"name":"pots","api-keys":["secret-3"]}]}`
	r, err := mangoreport.New([]byte(changed), []byte(sound))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text, data bytes.Buffer
	g.Expect(r.WriteText(&text)).To(gomega.Succeed())
	g.Expect(r.WriteJSON(&data)).To(gomega.Succeed())
	g.Expect(json.Valid(data.Bytes())).To(gomega.BeTrue())
	for _, output := range []string{text.String(), data.String()} {
		g.Expect(output).NotTo(gomega.ContainSubstring("secret"))
		for _, key := range []string{"secret-1", "secret-2", "secret-3"} {
			g.Expect(output).To(gomega.ContainSubstring(mangoworkspace.DigestOf(key).String()))
		}
		for _, name := range []string{"api-keys", "rate-per-s", "burst"} {
			g.Expect(output).To(gomega.ContainSubstring(name))
		}
	}
	// All fields of a route, an engine, a workspace and the limits are new.
	r, err = mangoreport.New([]byte(`{"services":[{"name":"s","engine":{"slots":2}}],"limits":{"idle-timeout-ms":5,"header-timeout-ms":4,"max-body-bytes":3,"max-header-bytes":2},
		"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","service":"s"}],"tenants":[{"name":"hats","api-keys":["k"]}]}`), []byte(`{}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, d := range r.Differences {
		g.Expect(string(d.Field)).To(gomega.MatchRegexp("^[a-z-]*$"), "of %s", d.Subject)
	}
}

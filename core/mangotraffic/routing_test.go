package mangotraffic

import (
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

func route(name RouteName, host HostName, prefix PathPrefix, targets ...Target) Route {
	if targets == nil {
		targets = []Target{{Service: "a", Weight: 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Targets: targets}
}

func TestMatch(t *testing.T) {
	r, err := NewRouting(1, []Route{
		route("all", "x", "/"), route("sub", "x", "/sub/"), route("deep", "x", "/sub/deep/"), route("other", "y", "/only/"),
	}, []Service{{Name: "a"}}, Limits{})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	tests := []struct {
		host HostName
		path string
		want RouteName
	}{
		{"x", "/", "all"}, {"x", "/sub", "all"}, {"x", "/sub/", "sub"}, {"x", "/sub/deep/1", "deep"},
		{"x", "/subway", "all"}, {"y", "/only/1", "other"}, {"y", "/", ""}, {"z", "/", ""},
	}
	for _, test := range tests {
		got, ok := r.Match(test.host, test.path)
		name := RouteName("")
		if ok {
			name = got.Name
		}
		if name != test.want {
			t.Errorf("Match(%s, %s) = %q, want %q", test.host, test.path, name, test.want)
		}
	}
}

func TestInvalidRouteInvalidatesRouting(t *testing.T) {
	tests := []struct {
		name  string
		route Route
	}{
		{"unknown service", route("r", "x", "/", Target{Service: "b"})},
		{"no target", Route{Name: "r", Host: "x", Prefix: "/"}},
		{"prefix without a leading slash", route("r", "x", "a/")},
		{"prefix without a trailing slash", route("r", "x", "/a")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := NewRouting(1, []Route{test.route}, []Service{{Name: "a"}}, Limits{})
			gomega.NewWithT(t).Expect(mangomodel.HasCode(err, mangomodel.CodeInvalid)).To(gomega.BeTrue())
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	r := route("r", "x", "/", Target{"a", 90}, Target{"b", 10}, Target{"c", 0})
	counts := make(map[ServiceName]int)
	for h := range uint64(1000) {
		counts[r.Pick(h)]++
	}
	g.Expect(counts).To(gomega.Equal(map[ServiceName]int{"a": 900, "b": 100}))
}

func TestDocumentRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := NewRouting(7, []Route{route("all", "x", "/")}, []Service{{Name: "a"}}, Limits{BodyBytes: 5})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := r.Document().Routing()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(r))
}

func TestExpectedOutput(t *testing.T) {
	tests := []struct {
		name      string
		g         Generation
		generated mangomodel.Tokens
		want      mangomodel.Tokens
	}{
		{"half of MaxOutput without a hint", Generation{MaxOutput: 100}, 0, 50},
		{"mean of the hint and half of MaxOutput", Generation{MaxOutput: 100, OutputHint: 10}, 0, 30},
		{"estimate exceeded", Generation{MaxOutput: 100, OutputHint: 10}, 50, 60},
		{"at most MaxOutput", Generation{MaxOutput: 100}, 99, 100},
	}
	for _, test := range tests {
		if got := test.g.ExpectedOutput(test.generated); got != test.want {
			t.Errorf("%s: ExpectedOutput(%d) = %d, want %d", test.name, test.generated, got, test.want)
		}
	}
}

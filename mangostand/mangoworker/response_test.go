package mangoworker

import (
	"strings"
	"testing"
)

func TestEventsNameTheBuildThatWroteThem(t *testing.T) {
	w, _ := start(t, "decode")
	for _, build := range []string{"v1", "v2"} {
		_, body, err := get(t, w, "/x")
		if want := strings.ReplaceAll(ExpectedStream("r1"), "v1", build); err != nil || body != want {
			t.Errorf("got %q, %v, want %q", body, err, want)
		}
		w.Crash()
		w.SetBuild("v2")
		if err := w.Start(""); err != nil {
			t.Fatal(err)
		}
	}
}

func TestParseEventsStopsAtWhatIsNoEvent(t *testing.T) {
	whole := Event{Number: 3, Request: "r1", Build: "v1"}.String()
	for _, rest := range []string{"", "id: 4\nda", "id: 4\ndata: r1.5 v1\n\n", "id: 4\ndata: r1.4\n\n", "id: 04\ndata: r1.4 v1\n\n"} {
		events, got := ParseEvents(whole + rest)
		if len(events) != 1 || events[0].String() != whole || got != rest {
			t.Errorf("after %q: got %v, %q", rest, events, got)
		}
	}
}

package mangoworker

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomodel"
)

// ExpectedBody returns the response body of a plain service to a request.
func ExpectedBody(id string, body []byte) string {
	return fmt.Sprintf("%s %x", id, xxhash.Sum64(body))
}

// ExpectedStream returns all events of a request's stream at a server of [DefaultBuild].
func ExpectedStream(id string) string { return Pace{}.ExpectedStream(id, 0, DefaultBuild) }

// Pace asks a server for the length and the speed of a stream. A zero field leaves
// the choice to the server.
type Pace struct {
	Events int
	// Gap is the time between two events.
	Gap time.Duration
}

const (
	fieldEvents = "Test-Events"
	fieldGap    = "Test-Gap-Ms"
)

// Set adds the pace to the header of a request.
func (p Pace) Set(h http.Header) {
	if p.Events > 0 {
		h.Set(fieldEvents, strconv.Itoa(p.Events))
	}
	if p.Gap > 0 {
		h.Set(fieldGap, strconv.FormatInt(p.Gap.Milliseconds(), 10))
	}
}

// paceOf returns the pace for which a request asks, with the server's choice for
// fields that are absent or invalid.
func paceOf(h http.Header, id string) Pace {
	p := Pace{Events: streamLength(id), Gap: stepTime}
	if n, err := strconv.Atoi(h.Get(fieldEvents)); err == nil && n > 0 {
		p.Events = n
	}
	if n, err := strconv.Atoi(h.Get(fieldGap)); err == nil && n > 0 {
		p.Gap = time.Duration(n) * time.Millisecond
	}
	return p
}

// ExpectedStream returns the events after one of a request's stream at this pace, written
// by a server of a build.
func (p Pace) ExpectedStream(id string, after int, build mangomodel.Build) string {
	var b strings.Builder
	for n := after + 1; n <= p.Length(id); n++ {
		b.WriteString(Event{Number: n, Request: id, Build: build}.String())
	}
	return b.String()
}

// Length returns the number of events of a request's stream at this pace.
func (p Pace) Length(id string) int {
	if p.Events > 0 {
		return p.Events
	}
	return streamLength(id)
}

// Event is an event of a stream.
type Event struct {
	Number  int
	Request string
	// Build is the build of the server that wrote the event.
	Build mangomodel.Build
}

// String returns the event as it is sent.
func (e Event) String() string {
	return fmt.Sprintf("id: %d\ndata: %s.%d %s\n\n", e.Number, e.Request, e.Number, e.Build)
}

var eventPattern = regexp.MustCompile(`^id: (\d+)\ndata: ([^\s.]+)\.\d+ (\S+)\n\n`)

// ParseEvents returns the whole events at the beginning of a text, and the rest of it.
func ParseEvents(text string) (events []Event, rest string) {
	for {
		m := eventPattern.FindStringSubmatch(text)
		if m == nil {
			return events, text
		}
		n, err := strconv.Atoi(m[1])
		e := Event{Number: n, Request: m[2], Build: mangomodel.Build(m[3])}
		if err != nil || m[0] != e.String() {
			return events, text
		}
		events, text = append(events, e), text[len(m[0]):]
	}
}

// streamLength returns the number of events of a request's stream.
func streamLength(id string) int {
	const shortest, spread = 5, 30
	return shortest + int(xxhash.Sum64String(id)%spread)
}

package mangoworker

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ExpectedBody returns the response body of a plain service to a request.
func ExpectedBody(id string, body []byte) string {
	return fmt.Sprintf("%s %x", id, xxhash.Sum64(body))
}

// ExpectedStream returns all events of a request's stream.
func ExpectedStream(id string) string {
	var b strings.Builder
	for n := 1; n <= streamLength(id); n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n) }

// streamLength returns the number of events of a request's stream.
func streamLength(id string) int {
	const shortest, spread = 5, 30
	return shortest + int(xxhash.Sum64String(id)%spread)
}

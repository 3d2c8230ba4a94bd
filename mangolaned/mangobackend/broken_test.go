package mangobackend

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
)

// checkBroken checks that an answer is a fault in each exchange.
func checkBroken(t *testing.T, text string) {
	for name, exchange := range exchanges {
		t.Run(name+", "+text[:min(len(text), 40)], func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			host, answer := serveAnswer(t)
			answer.Store(&cutAnswer{text: text})
			b := New()
			for range 2 {
				err := exchange(t.Context(), b, host)
				g.Expect(err).To(gomega.HaveOccurred(), "%q", text)
				g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown))
			}
		})
	}
}

const chunkFields = "Content-Type: application/json\r\nContent-Length: 61\r\n\r\n" + `{"Request":"r","Attempt":1,"Offset":0,"Text":"a","Last":true}`

// TestBrokenStatusIsAFault guards against an answer with status 000 that callers of a service
// receive as its answer, and that is recorded as the outcome of an operation.
func TestBrokenStatusIsAFault(t *testing.T) {
	mangorest.DisableFrameworkLog()
	for _, status := range []string{"000 Broken", "000", "099 Broken", "+99 Broken", "101 Switching Protocols"} {
		checkBroken(t, "HTTP/1.1 "+status+"\r\n"+chunkFields)
		checkBroken(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 "+status+"\r\n"+chunkFields)
	}
}

// TestBrokenFieldIsAFault guards against an answer in whose head a name holds a blank or a
// control byte and that is used all the same.
func TestBrokenFieldIsAFault(t *testing.T) {
	mangorest.DisableFrameworkLog()
	for _, line := range []string{"Bad Name: x", "Name : x", "A: b\r\n Name: x", "A: b\r\n\tName: x", "Na\tme: x", "Na\x01me: x"} {
		checkBroken(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+chunkFields)
		checkBroken(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+chunkFields)
	}
}

// TestCutRefusalIsNone guards against a refusal that is taken for the statement that nothing
// has run although its server stopped within it.
func TestCutRefusalIsNone(t *testing.T) {
	mangorest.DisableFrameworkLog()
	const body = `{"Code":"Overloaded","Run":"Not","Message":"full"}`
	for name, exchange := range exchanges {
		if name == "call of a service" {
			// It has the status of the service's answer.
			continue
		}
		for _, framing := range []string{"Content-Length: 400\r\n\r\n" + body, "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(body), body)} {
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				host, answer := serveAnswer(t)
				for _, reset := range []bool{false, true} {
					answer.Store(&cutAnswer{"HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\n" + framing, reset})
					err := exchange(t.Context(), New(), host)
					g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown), "%v", err)
				}
				answer.Store(&cutAnswer{"HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body, false})
				err := exchange(t.Context(), New(), host)
				g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunNot))
			})
		}
	}
}

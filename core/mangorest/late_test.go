package mangorest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// serveTwice starts a server that answers each request with its body, and gives each answer
// twice.
func serveTwice(t *testing.T) mangomodel.Address {
	serve := func(conn *net.TCPConn) {
		defer conn.Close()
		for r := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if _, err := io.WriteString(conn, answer+answer); err != nil {
				return
			}
		}
	}
	return serveConns(t, serve)
}

// TestResponseBeforeItsRequestIsAFault guards against bytes after a response that are taken
// for the response to the next request on the connection.
func TestResponseBeforeItsRequestIsAFault(t *testing.T) {
	DisableFrameworkLog()
	g := gomega.NewWithT(t)
	c := NewClient("peer", serveTwice(t))
	defer c.Close()
	const callers, exchanges = 4, 500
	var wg sync.WaitGroup
	wrong := make(chan string, callers*exchanges)
	for caller := range callers {
		wg.Go(func() {
			for n := range exchanges {
				body := strconv.Itoa(caller*exchanges + n)
				resp, err := c.Open(t.Context(), mangomodel.StepCall, http.MethodPost, "/", nil, []byte(body))
				if err != nil {
					continue
				}
				data, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err == nil && string(data) != body {
					wrong <- fmt.Sprintf("%s instead of %s", data, body)
				}
			}
		})
	}
	wg.Wait()
	close(wrong)
	var got []string
	for w := range wrong {
		got = append(got, w)
	}
	g.Expect(got).To(gomega.BeEmpty())
}

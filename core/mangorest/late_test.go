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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(conn net.Conn) {
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
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return mangomodel.Address(l.Addr().String())
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

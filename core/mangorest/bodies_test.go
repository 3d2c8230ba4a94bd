package mangorest

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
)

// TestBodiesOfRoutesAreBounded guards against bodies in chunks and compressed ones, of which
// go-zero bounds only the length that is sent, and against bodies that exceed the memory
// together.
func TestBodiesOfRoutesAreBounded(t *testing.T) {
	const maxBody = 1 << 20
	g := gomega.NewWithT(t)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	addr := probe.Addr().String()
	probe.Close()
	route := Handle(http.MethodPost, "/x", func(_ *http.Request, in struct{ Text string }) (int, error) { return len(in.Text), nil })
	memory := mangomemory.New(8 << 20)
	s, err := NewServer("test", mangomodel.Address(addr), []rest.Route{route}, WithMaxBody(maxBody), WithBodyMemory(memory))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go s.Serve()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	post := func(body io.Reader, encoding string) (int, string) {
		var resp *http.Response
		g.Eventually(func() error {
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/x", body)
			if err != nil {
				return err
			}
			req.Header.Set("Content-Encoding", encoding)
			resp, err = http.DefaultClient.Do(req)
			return err
		}, 5*time.Second).Should(gomega.Succeed())
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(data)
	}
	text := func(n int) string { return `{"Text":"` + strings.Repeat("x", n) + `"}` }
	chunked := func(text string) io.Reader { return struct{ io.Reader }{strings.NewReader(text)} }
	var zipped bytes.Buffer
	w := gzip.NewWriter(&zipped)
	_, _ = io.WriteString(w, text(2*maxBody))
	w.Close()

	status, _ := post(strings.NewReader(text(1000)), "")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	status, body := post(chunked(text(maxBody-11)), "")
	g.Expect(status).To(gomega.Equal(http.StatusOK), body)
	status, body = post(chunked(text(2*maxBody)), "")
	g.Expect(status).To(gomega.Equal(http.StatusRequestEntityTooLarge), body)
	status, body = post(&zipped, "gzip")
	g.Expect(status).To(gomega.Equal(http.StatusRequestEntityTooLarge), body)
	g.Eventually(memory.Used).Should(gomega.BeZero())

	room := memory.Hold()
	g.Expect(room.TryGrow(7 << 20)).To(gomega.BeTrue())
	status, body = post(chunked(text(maxBody-11)), "")
	g.Expect(status).To(gomega.Equal(http.StatusTooManyRequests), body)
	g.Expect(body).To(gomega.ContainSubstring(`"Run":"Not"`))
	room.Release()
	g.Eventually(memory.Used).Should(gomega.BeZero())
}

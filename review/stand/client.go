package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a client's kept channel to a daemon.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
	used int
}

func dial(addr string) (*channel, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, r: bufio.NewReader(c)}, nil
}

// answer is what a client has seen of one request.
type answer struct {
	id       string
	status   int
	body     string
	signed   bool
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, signed %t, complete %t, %d bytes, %v, error %v", a.id, a.status, a.signed, a.complete, len(a.body), a.took.Round(time.Millisecond), a.err)
}

// exchange sends one request and reads the answer.
func (c *channel) exchange(method, path, id string, header map[string]string, body []byte, limit time.Duration) answer {
	a := answer{id: id}
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	_ = c.conn.SetDeadline(began.Add(limit + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: hats.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, limit.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	c.used++
	if _, a.err = io.WriteString(c.conn, b.String()); a.err != nil {
		return a
	}
	if _, a.err = c.conn.Write(body); a.err != nil {
		return a
	}
	var resp *http.Response
	if resp, a.err = http.ReadResponse(c.r, &http.Request{Method: method}); a.err != nil {
		return a
	}
	defer resp.Body.Close()
	a.status, a.signed = resp.StatusCode, resp.Header.Get("Server-Signature") != ""
	var data []byte
	data, a.err = io.ReadAll(resp.Body)
	a.body, a.complete = string(data), a.err == nil
	a.took = time.Since(began)
	return a
}

// generation is the header of a request to a model.
func generation(id string) map[string]string {
	return map[string]string{"Model": "m", "Token-Counts": "1460,3600", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + fmt.Sprintf("%x", id) + ":250", "Content-Type": "text/plain"}
}

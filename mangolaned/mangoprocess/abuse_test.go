package mangoprocess_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangowire"
)

// TestUntrustedClientsLeaveTheDaemonServing guards against a daemon that exceeds its memory,
// or serves neither callers nor other daemons, because of clients that send without end at
// each of its addresses. It checks no times.
func TestUntrustedClientsLeaveTheDaemonServing(t *testing.T) {
	const (
		conns = 300
		// memory is for bodies (256 MiB), heads at two addresses and the process, in bytes.
		memory     = 512 << 20
		attackTime = 3 * time.Second
		patience   = 30 * time.Second
	)
	s := newSite(t)
	var names strings.Builder
	for i := range 2600 {
		fmt.Fprintf(&names, "%x:\r\n", i+0x100)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, a := range []struct{ addr, first, more string }{
		{"a1front", "POST /v1/generate HTTP/1.1\r\nHost: x\r\n" + names.String(), ""},
		{"a1front", "POST /v1/generate HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		{"a1admin", "GET /x HTTP/1.1\r\nHost: x\r\n", strings.Repeat("abc: def\r\n", 400)},
		{"a1peer", "\xfc\x3f\xff\xff\xff", strings.Repeat("x", 64<<10)},
	} {
		for range conns {
			running.Go(func() { floodUntil(stop, string(s.addrs[a.addr]), a.first, a.more) })
		}
	}
	time.Sleep(attackTime)
	s.g.Eventually(func() error { return s.get("a1front", mangowire.PathHealth, nil) }, patience).Should(gomega.Succeed())
	s.g.Eventually(func() error { return s.get("a1admin", mangowire.PathStatus, nil) }, patience).Should(gomega.Succeed())
	close(stop)
	running.Wait()
	peak := peakMemory(s.processes["a1"].Process.Pid)
	t.Logf("peak %d bytes", peak)
	s.g.Expect(peak).To(gomega.BeNumerically(">", 0), "the process has ended")
	s.g.Expect(peak).To(gomega.BeNumerically("<", memory))
}

// floodUntil sends a text and then another without end, on one connection after the other.
func floodUntil(stop <-chan struct{}, addr, first, more string) {
	for {
		if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			flood(stop, conn, first, more)
			conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func flood(stop <-chan struct{}, conn net.Conn, first, more string) {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
			conn.Close()
		case <-ended:
		}
	}()
	if _, err := io.WriteString(conn, first); err != nil {
		return
	}
	if more == "" {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	for {
		if _, err := io.WriteString(conn, more); err != nil {
			return
		}
	}
}

// peakMemory returns the peak resident memory of a process without pages of its file, in
// bytes, or zero if it has ended.
func peakMemory(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	field := func(name string) int64 {
		_, rest, _ := strings.Cut(string(data), name)
		text, _, _ := strings.Cut(rest, "kB")
		kb, _ := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		return kb << 10
	}
	return field("VmHWM:") - field("RssFile:")
}

package mangorest

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"mangolane/core/mangoclients"
	"mangolane/core/mangohead"
	"mangolane/core/mangomodel"
)

// guardedConn stands between the connection of a client and net/http. It holds the head of
// a request back until it is complete, so that net/http, which reads heads of a megabyte
// and parses them line by line as they arrive, holds nothing of an incomplete one. What it
// holds itself is counted and bounded.
//
// It knows where a body ends from the request that net/http has parsed. Only the goroutine
// that reads the connection uses the fields above writing; the goroutine of the request,
// which sets them, reads the connection itself or has waited for the one that does.
type guardedConn struct {
	net.Conn
	guard *guard
	id    mangoclients.ID

	part part
	head mangohead.Head
	// held is what is held of an incomplete head, and out what is to be delivered of a
	// complete one.
	held, out []byte
	// ahead was received after the end of a head or of a body.
	ahead  []byte
	left   mangomodel.Bytes
	chunks mangohead.Chunks
	// serving is set from the delivery of a head until its response is complete.
	serving bool

	// writing is since when a write has made no progress, and reading since when a head has
	// been read, in nanoseconds of the wall clock; zero means that there is none.
	writing, reading atomic.Int64
	closed           atomic.Bool
}

// part is the part of a request that is read next.
type part int

const (
	partHead part = iota
	partBody
	partChunks
	// partAny means that nothing is known of what follows.
	partAny
)

// Read reads what net/http may see.
func (c *guardedConn) Read(p []byte) (int, error) {
	if len(c.out) > 0 {
		return c.deliver(p), nil
	}
	switch c.part {
	case partBody:
		n, err := c.receive(p[:min(mangomodel.Bytes(len(p)), c.left)])
		if c.left -= mangomodel.Bytes(n); c.left == 0 {
			c.endBody()
		}
		return n, err
	case partChunks:
		return c.readChunks(p)
	case partHead:
		if c.serving {
			// net/http looks for the end of the connection while it serves a request.
			return c.lookAhead(p)
		}
		return c.readHead(p)
	default:
		return c.receive(p)
	}
}

// receive returns what was received ahead, or reads the connection.
func (c *guardedConn) receive(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

// keep keeps what was received beyond the end of a part.
func (c *guardedConn) keep(rest []byte) {
	if len(rest) > 0 {
		c.ahead = append(slices.Clone(rest), c.ahead...)
	}
}

// deliver delivers a part of a complete head.
func (c *guardedConn) deliver(p []byte) int {
	n := copy(p, c.out)
	if c.out = c.out[n:]; len(c.out) == 0 {
		c.out = nil
	}
	return n
}

// readHead returns the beginning of a head once it is complete.
func (c *guardedConn) readHead(p []byte) (int, error) {
	for {
		n, err := c.receive(p)
		if n == 0 {
			return 0, err
		}
		c.reading.CompareAndSwap(0, time.Now().UnixNano())
		n, verdict := c.scan(p[:n])
		switch {
		case verdict == mangohead.TooLarge:
			return 0, c.refuse(ReasonHeadTooLarge)
		case verdict == mangohead.Incomplete:
			c.held = append(c.held, p[:n]...)
			if !c.hold(mangomodel.Bytes(cap(c.held))) {
				return 0, c.refuse(ReasonNoMemory)
			}
			if err != nil {
				return 0, err
			}
			continue
		case !c.hold(c.head.Cost()):
			return 0, c.refuse(ReasonNoMemory)
		}
		c.reading.Store(0)
		c.serving = true
		c.head = mangohead.Head{}
		if len(c.held) == 0 {
			return n, nil
		}
		c.out, c.held = append(c.held, p[:n]...), nil
		return c.deliver(p), nil
	}
}

// scan scans a part of a head, and keeps what comes after its end.
func (c *guardedConn) scan(data []byte) (int, mangohead.Verdict) {
	if !c.head.Begun() {
		// The limit may have changed since the last request.
		c.head = c.guard.newHead()
	}
	n, verdict := c.head.Scan(data)
	if verdict == mangohead.Complete {
		c.keep(data[n:])
	}
	return n, verdict
}

// hold changes the memory that is held for the head, and reports whether there is any.
func (c *guardedConn) hold(n mangomodel.Bytes) bool { return c.guard.hold(c.id, n) }

// lookAhead reads a byte of the next head while a request is being served.
func (c *guardedConn) lookAhead(p []byte) (int, error) {
	n, err := c.receive(p[:min(len(p), 1)])
	if n > 0 {
		c.scan(p[:n])
	}
	return n, err
}

// readChunks reads a part of a body in chunks.
func (c *guardedConn) readChunks(p []byte) (int, error) {
	// Chunks of a byte that come without end keep the decoder of net/http busy without a
	// wait. Hundreds of such goroutines would each use the 10 ms that the scheduler gives
	// them, before others run that wait for a lock or a response.
	runtime.Gosched()
	n, err := c.receive(p)
	n, done, ok := c.scanChunks(p[:n])
	switch {
	case !ok:
		c.part = partAny
	case done:
		c.endBody()
	}
	return n, err
}

// scanChunks scans a part of a body in chunks, and keeps what comes after its end. What is
// malformed is net/http's to refuse.
func (c *guardedConn) scanChunks(data []byte) (n int, done, ok bool) {
	n, done, ok = c.chunks.Scan(data)
	if !ok {
		return len(data), false, false
	}
	c.keep(data[n:])
	return n, done, true
}

// begin is called before a request is served.
func (c *guardedConn) begin(r *http.Request) {
	switch {
	case r.ContentLength > 0:
		c.part, c.left = partBody, mangomodel.Bytes(r.ContentLength)
		c.guard.table.Enter(c.id, mangoclients.PhaseBody, time.Now())
	case r.ContentLength < 0:
		c.part, c.chunks = partChunks, mangohead.Chunks{}
		c.guard.table.Enter(c.id, mangoclients.PhaseBody, time.Now())
	default:
		c.guard.table.Enter(c.id, mangoclients.PhaseServing, time.Now())
	}
}

func (c *guardedConn) endBody() {
	c.part = partHead
	c.guard.table.Enter(c.id, mangoclients.PhaseServing, time.Now())
}

// changed is called when net/http changes the state of the connection.
func (c *guardedConn) changed(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.serving = false
		c.hold(0)
		c.guard.table.Enter(c.id, mangoclients.PhaseHead, time.Now())
	case http.StateHijacked:
		c.part = partAny
	}
}

// lingerTime and maxLinger bound what is read of a connection that is refused, since unread
// bytes would reset it before its client sees the response.
const (
	lingerTime                  = 500 * time.Millisecond
	maxLinger  mangomodel.Bytes = 256 << 10
)

// refuse answers a request whose head net/http has not seen. It returns the error that ends
// the connection without a further response.
func (c *guardedConn) refuse(reason Reason) error {
	c.held, c.ahead = nil, nil
	c.guard.closed(reason)
	end := time.Now().Add(lingerTime)
	if c.SetDeadline(end) != nil {
		return io.EOF
	}
	if _, err := c.Conn.Write(c.guard.response(reason)); err == nil && c.CloseWrite() == nil {
		// A failed read ends the connection like its end.
		_, _ = io.CopyN(io.Discard, c.Conn, int64(maxLinger))
	}
	return io.EOF
}

// writeChunk is how many bytes a client has to take within the time that a write may stall.
const writeChunk = 32 << 10

// Write writes p in parts, so that a reader that is slow differs from one that does not
// read.
func (c *guardedConn) Write(p []byte) (int, error) {
	written := 0
	defer c.writing.Store(0)
	for part := range slices.Chunk(p, writeChunk) {
		c.writing.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// CloseWrite ends the response. net/http uses it where a connection has it.
func (c *guardedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that was not sent.
func (c *guardedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection and returns what it held.
func (c *guardedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.guard.remove(c)
	}
	return c.Conn.Close()
}

package mangorest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"mangolane/core/mangohead"
	"mangolane/core/mangomodel"
)

// clientConn is the connection of a [Client]. A read fails where the head of a response is
// malformed. What the peer sent before a reset is read whole, and the end of the stream is
// reported only if the peer has ended it in order.
//
// The system reports a reset once, to a read or to a write, and the end of the stream to
// every read after that. While a request is being written, the goroutine that reads the
// response would take the reset for its end.
type clientConn struct {
	net.Conn
	// writing is held during a write, and guards writeErr.
	writing  sync.Mutex
	writeErr error
	// ended is closed once a read has failed or the connection is closed.
	ended chan struct{}
	end   func()

	// mu guards response, the scan of the response to the current request.
	mu       sync.Mutex
	response mangohead.Response
}

func newClientConn(conn net.Conn) *clientConn {
	ended := make(chan struct{})
	return &clientConn{Conn: conn, ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

// dialConn returns a function that opens connections of a Client.
func dialConn(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newClientConn(conn), nil
	}
}

// begin is called before another request is written to a reused connection.
func (c *clientConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = mangohead.Response{}
}

// answered reports whether the final head of the response to the current request was read.
func (c *clientConn) answered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response.Done()
}

func (c *clientConn) scan(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response.Scan(data)
}

// Read reads the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if broken := c.scan(p[:n]); broken != nil {
		n, err = 0, broken
	}
	if errors.Is(err, io.EOF) {
		if cause := c.lost(); cause != nil {
			err = cause
		}
	}
	if err != nil {
		c.end()
	}
	return n, err
}

// Write writes p. It does not report that the peer takes no more of the request until all
// that the peer has sent was read, since net/http closes the connection after a failed
// write, and with it drops the response that the peer may have sent before.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		<-c.ended
	}
	return n, err
}

// write writes p and remembers why it failed.
func (c *clientConn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// lost returns the error of a write that was told that the connection is lost, although a
// read has reported the end of the stream.
func (c *clientConn) lost() error {
	// A write that waits for the peer ends here. Nobody needs the rest of the request:
	// net/http closes the connection at the end of the stream.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	switch err := c.writeErr; {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return nil
	case errors.Is(err, syscall.EPIPE):
		// The peer ended the stream before it reset the connection.
		return nil
	default:
		return mangomodel.Errors.New("the connection was lost while the request was being written: %w", err)
	}
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.end()
	return c.Conn.Close()
}

// chunkedBody is the body of a response in chunks. It fails at its end if the name of a
// trailer is malformed: net/http accepts names with blanks.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads the body.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name, values := range b.resp.Trailer {
			// A name without values was declared and not sent.
			if len(values) > 0 && !mangohead.IsName(name) {
				err = fmt.Errorf("%w: trailer %q", mangohead.ErrField, name)
			}
		}
	}
	return n, err
}

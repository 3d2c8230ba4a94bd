package mangorest

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"mangolane/core/mangomodel"
)

// clientConn is the connection of a [Client]. It reports the end of the stream only if the
// peer has ended it in order.
//
// The system reports a reset once, to a read or to a write, and the end of the stream to
// every read after that. While a request is being written, the goroutine that reads the
// response would take the reset for its end.
type clientConn struct {
	net.Conn
	// writing is held during a write, and guards writeErr.
	writing  sync.Mutex
	writeErr error
}

// dialConn returns a function that opens connections of a Client.
func dialConn(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &clientConn{Conn: conn}, nil
	}
}

// Read reads the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := c.lost(); cause != nil {
			err = cause
		}
	}
	return n, err
}

// Write writes p and remembers why it failed.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// lost returns the error of a write that tells that the connection was lost, although a
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
		// The peer had ended the stream before it refused what came after.
		return nil
	default:
		return mangomodel.Errors.New("the connection was lost while the request was being written: %w", err)
	}
}

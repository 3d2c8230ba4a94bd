package mangorest

import (
	"net"
	"syscall"

	"mangolane/core/mangomodel"
)

// receiveBuffer is how many bytes of a connection the system keeps until they are read.
// Without a bound a peer that sends faster than its data is read fills several megabytes.
// Linux doubles the figure for its own data.
type receiveBuffer mangomodel.Bytes

// clientReceiveBuffer is the receive buffer of the connections of a server.
const clientReceiveBuffer receiveBuffer = 64 << 10

// control sets the receive buffer of a socket that is not connected yet.
func (b receiveBuffer) control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// A buffer of another size affects only memory.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, int(b))
	})
}

// limit sets the receive buffer of the connections that a listener accepts.
func (b receiveBuffer) limit(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		// It fails only for a closed listener, which accepts nothing.
		_ = b.control("", "", raw)
	}
}

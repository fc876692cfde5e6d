package gateway

import (
	"context"
	"net"
	"syscall"
)

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the front server.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// hasDisconnected reports whether the caller of a request has closed its connection. It peeks at
// the socket, because the HTTP server detects the disconnect of a caller only some time after it
// began to serve the request.
func hasDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, found := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !found {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, peekErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch peekErr {
		case nil:
			closed = count == 0
		case syscall.EAGAIN, syscall.EINTR:
		default:
			closed = true
		}
	})
	return err != nil || closed
}

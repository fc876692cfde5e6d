package gateway

import (
	"context"
	"net"
	"syscall"
)

// callerConnKey is the key of a caller's connection in the context of its requests.
type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the front server.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// hasDisconnected tells whether the caller of a request has closed its connection. The server's own
// watch over the connection begins with the request and says so a moment later: a request
// that had waited unread until its caller gave up would reach a worker first, and run for
// nobody.
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
	left := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		count, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch peekErr {
		case nil:
			left = count == 0
		case syscall.EAGAIN, syscall.EINTR:
		default:
			left = true
		}
	})
	return err != nil || left
}

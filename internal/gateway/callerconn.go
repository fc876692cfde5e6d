package gateway

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// errNoCallerConn means that the connection of a request isn't known.
var errNoCallerConn = errors.New("caller's connection unknown")

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

// resetAtClose makes the closing of a caller's connection a reset.
func resetAtClose(ctx context.Context) error {
	conn, found := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !found {
		return errNoCallerConn
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptLinger(int(descriptor), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
	if err == nil {
		err = optionErr
	}
	return err
}

package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

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

// socketState is what a connection's socket holds for its reader.
type socketState uint8

const (
	// socketEmpty means that the connection is open and nothing waits to be read.
	socketEmpty socketState = iota
	// socketReadable means that bytes wait to be read.
	socketReadable
	// socketClosed means that the peer has closed the connection, or that it is broken.
	socketClosed
)

// peekSocket returns the state of a connection's socket. It takes nothing from it.
func peekSocket(conn syscall.Conn) socketState {
	raw, err := conn.SyscallConn()
	if err != nil {
		return socketClosed
	}
	state := socketEmpty
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, peekErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case peekErr == syscall.EAGAIN, peekErr == syscall.EINTR:
		case peekErr == nil && count > 0:
			state = socketReadable
		default:
			state = socketClosed
		}
	})
	if err != nil {
		return socketClosed
	}
	return state
}

// hasDisconnected reports whether the caller of a request has closed its connection. It peeks at
// the socket, because the HTTP server detects the disconnect of a caller only some time after it
// began to serve the request.
func hasDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, found := ctx.Value(callerConnKey{}).(syscall.Conn)
	return found && peekSocket(conn) == socketClosed
}

// hasRestedLongerThan reports whether the connection of a request had been idle for longer than a
// limit when the request arrived; 0 means no limit.
func hasRestedLongerThan(ctx context.Context, limit time.Duration) bool {
	conn, found := ctx.Value(callerConnKey{}).(*callerConn)
	return found && limit > 0 && time.Duration(conn.rested.Load()) > limit
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

// Package tcpend finds out whether the peer of a TCP connection closed it in an orderly way.
//
// A reader sees the end of file as soon as a FIN has arrived. A reset that follows it is reported to no reader,
// but the kernel's state of the connection shows it (tcp(7), TCP_INFO). A peer that has closed both directions
// resets the connection once more data arrives; one that has closed its own acknowledges the data.
package tcpend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// resetDelay is how long after the end of file a reset that follows it is waited for.
	resetDelay = 20 * time.Millisecond
	// acknowledgeTimeout bounds the wait for a reset while data is unacknowledged. It leaves time for a probe of
	// a closed window.
	acknowledgeTimeout = 500 * time.Millisecond
	// pollInterval is the time between two looks at a connection with unacknowledged data.
	pollInterval = 5 * time.Millisecond
)

// States of a connection, as in the kernel's include/net/tcp_states.h.
const (
	stateEstablished = 1
	stateClosed      = 7
)

// ErrReset means that a connection was reset after its end of file.
var ErrReset = errors.New("connection reset after its end of file")

// errNoInfo means that a connection has no file descriptor.
var errNoInfo = errors.New("connection has no file descriptor")

// Observer tells how a connection ended. The zero value knows nothing of its connection.
type Observer struct {
	// conn is nil if the kernel doesn't tell the state of the connection.
	conn net.Conn
}

// Observe returns the observer of an open connection.
func Observe(conn net.Conn) Observer {
	if info, err := read(conn); err != nil || info.State != stateEstablished {
		return Observer{}
	}
	return Observer{conn: conn}
}

// Await returns ErrReset if the connection was reset. It is called after the end of file, and before the
// connection is closed. It takes resetDelay, and up to acknowledgeTimeout more while data is unacknowledged. It
// returns nil if nothing is known of the connection.
func (o Observer) Await(ctx context.Context) error {
	if err := sleep(ctx, resetDelay); err != nil || o.conn == nil {
		return err
	}
	for deadline := time.Now().Add(acknowledgeTimeout); ; {
		info, err := read(o.conn)
		switch {
		case err != nil:
			return errors.Wrap(err, "read connection state")
		case info.State == stateClosed:
			return ErrReset
		case isAcknowledged(info) || time.Now().After(deadline):
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// isAcknowledged reports whether the peer has acknowledged all that was written.
func isAcknowledged(info *unix.TCPInfo) bool { return info.Unacked == 0 && info.Notsent_bytes == 0 }

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// read returns the kernel's state of a connection.
func read(conn net.Conn) (*unix.TCPInfo, error) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoInfo
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = optionErr
	}
	return info, err
}

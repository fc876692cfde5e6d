package loopback

import (
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// DropPackets has the kernel drop all packets that arrive at a socket, so that bytes stay unacknowledged and new
// connections pending. It needs no privileges. Multipath TCP sockets take no filters.
func DropPackets(socket syscall.Conn) error {
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(socket, func(descriptor int) error {
		return unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// TakePackets ends DropPackets. It does nothing if the socket drops none.
func TakePackets(socket syscall.Conn) error {
	err := control(socket, func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	if errors.Is(err, unix.ENOENT) {
		return nil
	}
	return err
}

// control calls a function with the descriptor of a socket.
func control(socket syscall.Conn, call func(descriptor int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(descriptor uintptr) { failed = call(int(descriptor)) }); err != nil {
		return err
	}
	return failed
}

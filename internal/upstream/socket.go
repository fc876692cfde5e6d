package upstream

import (
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// LimitUnacknowledged returns a control function for dialers and listeners that sets
// TCP_USER_TIMEOUT: the time that written bytes may stay unacknowledged before the connection
// fails. It detects peers that vanish without closing, such as by power loss or a network
// partition.
func LimitUnacknowledged(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, limit) }
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

package integration

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Ports are taken from below the range that the system gives to outgoing
// connections, so that a process that is started again finds its port free.
const (
	firstPort      = 20_000
	portCount      = 12_000
	portsOfProcess = 97
)

var nextPort atomic.Int64

// freeAddress returns a loopback address on which nothing listens. Test
// binaries that run at once begin at different ports.
func freeAddress(t *testing.T) string {
	t.Helper()
	base := int64(os.Getpid()) * portsOfProcess
	for range portCount {
		port := firstPort + (base+nextPort.Add(1))%portCount
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		return address
	}
	require.FailNow(t, "no free port")
	return ""
}

package integration

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/lab/loopback"
)

// firstPort is the first port of the processes: below the range that the system gives to
// outgoing connections.
const firstPort = 20_000

var nextPort atomic.Int64

// ownHost returns the loopback host of this test binary, which no other one uses.
var ownHost = sync.OnceValues(loopback.Host)

// freeAddress returns a loopback address on which nothing listens, and which nobody else
// takes.
func freeAddress(t *testing.T) string {
	t.Helper()
	host, err := ownHost()
	require.NoError(t, err)
	return net.JoinHostPort(host, strconv.FormatInt(firstPort+nextPort.Add(1), 10))
}

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

// firstPort is the first port assigned to processes. It is below the ephemeral port range.
const firstPort = 20_000

var nextPort atomic.Int64

// ownHost returns the loopback host that is reserved for this test binary.
var ownHost = sync.OnceValues(loopback.Host)

// freeAddress returns an unused loopback address on the host of this test binary.
func freeAddress(t *testing.T) string {
	t.Helper()
	host, err := ownHost()
	require.NoError(t, err)
	return net.JoinHostPort(host, strconv.FormatInt(firstPort+nextPort.Add(1), 10))
}

package loopback

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// helperVariable makes the test binary print hosts and then wait until its standard input is
// closed.
const helperVariable = "LOOPBACK_HELPER"

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) == "" {
		os.Exit(m.Run())
	}
	for range 20 {
		host, err := Host()
		if err != nil {
			os.Exit(1)
		}
		_, _ = os.Stdout.WriteString(host + "\n")
	}
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// TestNoTwoProcessesHaveTheSameHost guards against processes that claim the same address.
func TestNoTwoProcessesHaveTheSameHost(t *testing.T) {
	seen := make(map[string]bool)
	for range 4 {
		helper := exec.Command(os.Args[0])
		helper.Env = append(os.Environ(), helperVariable+"=1")
		input, err := helper.StdinPipe()
		require.NoError(t, err)
		output, err := helper.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, helper.Start())
		t.Cleanup(func() { input.Close(); _ = helper.Wait() })
		printed := ""
		for strings.Count(printed, "\n") < 20 {
			buffer := make([]byte, 1024)
			count, err := output.Read(buffer)
			require.NoError(t, err)
			printed += string(buffer[:count])
		}
		for _, host := range strings.Fields(printed) {
			assert.False(t, seen[host], host)
			seen[host] = true
		}
	}
	own, err := Host()
	require.NoError(t, err)
	assert.False(t, seen[own])
	assert.True(t, net.ParseIP(own).IsLoopback())
}

// TestHostsAreValid guards against addresses outside the loopback range and with a last byte of 0
// or 255.
func TestHostsAreValid(t *testing.T) {
	for _, number := range []int{0, 253, 254, hostsPerNetwork - 1, hostsPerNetwork, networks*hostsPerNetwork - 1, networks * hostsPerNetwork} {
		assert.True(t, net.ParseIP(hostAddress(number)).IsLoopback(), hostAddress(number))
	}
	assert.Equal(t, hostAddress(0), hostAddress(networks*hostsPerNetwork))
	assert.Equal(t, "127.64.0.1", hostAddress(0))
	assert.Equal(t, "127.127.255.254", hostAddress(networks*hostsPerNetwork-1))
}

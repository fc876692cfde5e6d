// Package loopback allocates exclusive loopback addresses to tests that start processes. On a
// shared address, another process or an outgoing connection could take a free port before the
// intended process listens on it.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// claimPort is the port that Host listens on to claim an address for the life of the process.
	claimPort = 19_999
	// firstNetwork is the lowest second byte of the addresses and networks the number of its
	// values: 127.64.0.0 to 127.127.255.255.
	firstNetwork = 64
	networks     = 64
	// hostsPerNetwork is the number of addresses used per value of the second byte.
	hostsPerNetwork = 256 * 254
	// hostsPerProcess separates the first addresses tried by processes with consecutive IDs.
	hostsPerProcess = 251
)

var claims struct {
	mutex sync.Mutex
	next  int
	// held keeps the listeners open until the process ends.
	held []net.Listener
}

// Host returns a loopback address that no other call of Host returns, in this process or in another
// running one.
func Host() (string, error) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	base := os.Getpid() * hostsPerProcess
	for range networks * hostsPerNetwork {
		host := hostAddress(base + claims.next)
		claims.next++
		listener, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(claimPort)))
		if err == nil {
			claims.held = append(claims.held, listener)
			return host, nil
		}
	}
	return "", errors.New("no free loopback address")
}

// hostAddress returns the address with an index, which wraps around. The last byte is never 0 or
// 255.
func hostAddress(index int) string {
	index %= networks * hostsPerNetwork
	network, rest := index/hostsPerNetwork, index%hostsPerNetwork
	return "127." + strconv.Itoa(firstNetwork+network) + "." + strconv.Itoa(rest/254) + "." + strconv.Itoa(1+rest%254)
}

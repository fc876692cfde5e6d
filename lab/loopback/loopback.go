// Package loopback gives tests that start processes loopback hosts of their own. A port that
// is found free and closed again may be taken by another test binary, or by an outgoing
// connection, before the process that it was chosen for listens there; on a host that nobody
// else uses it can't.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// claimPort is the port on which a host is held for the life of the process.
	claimPort = 19_999
	// firstNetwork and networks are the second bytes of the hosts, 127.64 to 127.127.
	firstNetwork = 64
	networks     = 64
	// hostsPerNetwork is the number of hosts of one of them.
	hostsPerNetwork = 256 * 254
	// hostsPerProcess spreads processes that run at once, so that they rarely try the same host.
	hostsPerProcess = 251
)

var claims struct {
	mutex sync.Mutex
	next  int
	// held keeps the claims open until the process ends.
	held []net.Listener
}

// Host returns a loopback host that no other caller of Host has, in this process or another.
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
	return "", errors.New("no loopback host is left")
}

// hostAddress returns the host of a number. No last byte is 0 or 255.
func hostAddress(number int) string {
	number %= networks * hostsPerNetwork
	network, rest := number/hostsPerNetwork, number%hostsPerNetwork
	return "127." + strconv.Itoa(firstNetwork+network) + "." + strconv.Itoa(rest/254) + "." + strconv.Itoa(1+rest%254)
}

package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/peer"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/lab/bytecount"
)

// Regions and zones over which the hollow routers are spread.
const (
	regions = 6
	zones   = 13
)

// traffic counts what the servers of the hollow routers exchange.
type traffic struct {
	calls atomic.Int64
	// bytes counts both directions, HTTP included.
	bytes atomic.Int64
}

// node is a hollow router: the product's membership and configuration over its
// own transport, without engines, placement or platform.
type node struct {
	name    fleet.NodeID
	peer    *peer.Peer
	holder  *config.Holder
	server  *http.Server
	stopped bool
}

// startNode starts a hollow router that joins through the seeds.
func startNode(number int, seeds []fleet.Address, counted *traffic, random *rand.Rand) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	started := &node{name: fleet.NodeID(fmt.Sprintf("hollow-%04d", number)), holder: config.NewHolder()}
	started.peer, err = peer.New(peer.Options{
		Membership: membership.Options{
			Self: membership.Member{
				Node:    started.name,
				Address: fleet.Address(listener.Addr().String()),
				Region:  fleet.RegionName(fmt.Sprintf("region-%d", number%zones*regions/zones)),
				Zone:    fleet.ZoneName(fmt.Sprintf("zone-%02d", number%zones)),
			},
			Random: random,
		},
		Seeds:      seeds,
		Holder:     started.holder,
		Logger:     zerolog.Nop(),
		Registerer: prometheus.NewRegistry(),
	})
	if err != nil {
		_ = listener.Close()
		return nil, errors.Wrap(err, "set up peer")
	}
	started.server = &http.Server{Handler: counted.handler(rpc.NewPeerServer(started.peer))}
	go func() { _ = started.server.Serve(bytecount.NewListener(listener, &counted.bytes)) }()
	started.peer.Start()
	return started, nil
}

// kill ends the router without a word to the others.
func (n *node) kill() error {
	if n.stopped {
		return nil
	}
	n.stopped = true
	return errors.Join(n.server.Close(), n.peer.Stop())
}

// handler counts the calls to a handler.
func (t *traffic) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		t.calls.Add(1)
		next.ServeHTTP(writer, request)
	})
}

// operator sends statements to a real router.
type operator struct{ client rpc.Operations }

func newOperator(router fleet.Address) operator {
	return operator{client: rpc.NewOperationsProtobufClient("http://"+string(router), http.DefaultClient)}
}

// execute runs a statement and returns its answer.
func (o operator) execute(ctx context.Context, statement, token string) (*rpc.ExecuteResponse, error) {
	answer, err := o.client.Execute(ctx, &rpc.ExecuteRequest{Header: &rpc.Header{Sender: "hollow"}, Statement: statement, Token: token})
	if err != nil {
		return nil, errors.Wrap(err, statement)
	}
	if answer.GetCode() != 0 {
		return nil, errors.Errorf("%s: %s", statement, answer.GetMessage())
	}
	return answer, nil
}

package capacity

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/lab/bytecount"
)

// endpoint is an HTTP server on the loopback interface with a client for it.
type endpoint struct {
	server *http.Server
	client *http.Client
	url    string
	// bytes counts the transferred bytes in both directions.
	bytes atomic.Int64
}

func newEndpoint(handler http.Handler) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		server: &http.Server{Handler: handler},
		client: &http.Client{Transport: &http.Transport{}},
		url:    "http://" + listener.Addr().String(),
	}
	go func() { _ = e.server.Serve(bytecount.NewListener(listener, &e.bytes)) }()
	return e, nil
}

func (e *endpoint) stop() {
	e.client.CloseIdleConnections()
	_ = e.server.Close()
}

// callCost is the cost of one call on an open connection, for both ends together and including HTTP.
type callCost struct {
	bytes        float64
	microseconds float64
}

// measure repeats a call and returns its mean cost.
func (e *endpoint) measure(o Options, call func(ctx context.Context) error) (callCost, error) {
	var failed error
	ctx := context.Background()
	// Warm up: the first call may fetch a whole list, the second reuses the connection.
	for range 2 {
		if err := call(ctx); err != nil {
			return callCost{}, err
		}
	}
	before := e.bytes.Load()
	calls := 0
	used := processorTimeOf(o.Sizes.ProcessorTime, func(int) {
		calls++
		if err := call(ctx); err != nil && failed == nil {
			failed = err
		}
	})
	bytes := float64(e.bytes.Load()-before) / float64(calls)
	return callCost{bytes: bytes, microseconds: microseconds(used)}, failed
}

// fixedResponses implements the rpc services with prepared responses.
type fixedResponses struct {
	place  *rpc.PlaceResponse
	sync   *rpc.SyncResponse
	gossip *rpc.GossipMessage
}

// Place implements rpc.Placement.
func (f *fixedResponses) Place(context.Context, *rpc.PlaceRequest) (*rpc.PlaceResponse, error) {
	return f.place, nil
}

// Report implements rpc.Placement.
func (f *fixedResponses) Report(context.Context, *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	return &rpc.ReportResponse{Header: header()}, nil
}

// Sync implements rpc.Placement.
func (f *fixedResponses) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return f.sync, nil
}

// Gossip implements rpc.Peer.
func (f *fixedResponses) Gossip(context.Context, *rpc.GossipMessage) (*rpc.GossipMessage, error) {
	return f.gossip, nil
}

// ShareLoad implements rpc.Peer.
func (f *fixedResponses) ShareLoad(context.Context, *rpc.LoadReport) (*rpc.LoadReport, error) {
	return &rpc.LoadReport{}, nil
}

// Watch implements rpc.Peer.
func (f *fixedResponses) Watch(context.Context, *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	return &rpc.WatchResponse{}, nil
}

// GrantSend implements rpc.Peer.
func (f *fixedResponses) GrantSend(context.Context, *rpc.LimitQuestion) (*rpc.LimitAnswer, error) {
	return &rpc.LimitAnswer{}, nil
}

// RecordStreams implements rpc.Peer.
func (f *fixedResponses) RecordStreams(context.Context, *rpc.StreamRecords) (*rpc.StreamRecordsKept, error) {
	return &rpc.StreamRecordsKept{}, nil
}

// FindStream implements rpc.Peer.
func (f *fixedResponses) FindStream(context.Context, *rpc.StreamQuery) (*rpc.StreamAnswer, error) {
	return &rpc.StreamAnswer{}, nil
}

// Caches implements rpc.Peer.
func (f *fixedResponses) Caches(context.Context, *rpc.CachesRequest) (*rpc.CachesResponse, error) {
	return &rpc.CachesResponse{}, nil
}

// Changes implements rpc.Peer.
func (f *fixedResponses) Changes(context.Context, *rpc.ChangesRequest) (*rpc.ChangesResponse, error) {
	return &rpc.ChangesResponse{Header: header()}, nil
}

func header() *rpc.Header {
	return &rpc.Header{Sender: string(member(0, 0).Node), KnownRevision: 1 << 20}
}

// placeCost returns the cost of a Place call with the given number of block hashes.
func placeCost(o Options, blocks int) (callCost, error) {
	version := servedVersion()
	request := &rpc.PlaceRequest{
		Header: header(), RequestId: "0123456789abcdef0123456789abcdef", Attempt: 1, Tenant: string(tenantName(0)),
		Weights: &rpc.Weights{Model: string(version.Model), Version: string(version.Version)}, Class: string(className),
		PromptTokens: uint32(blocks * blockTokens), MaxTokens: 200, DeadlineMillis: 60_000, AgentZone: string(zoneName(0)),
	}
	for _, hash := range randomHashes(rand.New(rand.NewPCG(o.Seed, 5)), blocks) {
		request.BlockHashes = append(request.BlockHashes, uint64(hash))
	}
	responses := &fixedResponses{place: &rpc.PlaceResponse{
		Header: header(), RequestId: request.RequestId, Attempt: 1,
		Outcome: &rpc.PlaceResponse_Grant{Grant: &rpc.Grant{
			Run: &rpc.EngineRun{Engine: string(engineName(0)), Incarnation: 1}, Address: "10.1.0.0:9000",
			ExpectedCachedTokens: 1 << 14, ValidMillis: 2000, BlockTokens: blockTokens,
		}},
	}}
	return placementCost(o, responses, func(ctx context.Context, client rpc.Placement) error {
		_, err := client.Place(ctx, request)
		return err
	})
}

// syncCost returns the cost of a Sync call whose response contains routers, a configuration and a
// list of engines. A number of 0 leaves out the respective part.
func syncCost(o Options, routers, tenants, engines int) (callCost, error) {
	response := &rpc.SyncResponse{Header: header()}
	for _, router := range members(routers) {
		response.Members = append(response.Members, membership.EncodeMember(router))
	}
	if tenants > 0 {
		snapshot, err := config.SnapshotMessage(document(1, tenants, targetModels))
		if err != nil {
			return callCost{}, err
		}
		response.Config = snapshot
	}
	if engines > 0 {
		response.Machines = machineList(engines)
	}
	return placementCost(o, &fixedResponses{sync: response}, func(ctx context.Context, client rpc.Placement) error {
		_, err := client.Sync(ctx, &rpc.SyncRequest{Header: header()})
		return err
	})
}

func placementCost(o Options, responses rpc.Placement, call func(context.Context, rpc.Placement) error) (callCost, error) {
	e, err := newEndpoint(rpc.NewPlacementServer(responses))
	if err != nil {
		return callCost{}, err
	}
	defer e.stop()
	client := rpc.NewPlacementProtobufClient(e.url, e.client)
	return e.measure(o, func(ctx context.Context) error { return call(ctx, client) })
}

// machineList returns a list of engines as nodes send it to each other.
func machineList(engines int) *rpc.MachineList {
	list := &rpc.MachineList{Digest: 1 << 60}
	for number := range engines {
		engine := machine(number, poolName(number%targetModels))
		list.Machines = append(list.Machines, &rpc.Machine{
			Id: engine.ID, Address: string(engine.Address), Region: string(engine.Region), Zone: string(engine.Zone),
			Pool: string(engine.Pool), Incarnation: uint64(engine.Incarnation),
		})
	}
	return list
}

// gossipOverhead returns the bytes that HTTP and twirp add to one gossip exchange, and the processor
// time of the whole exchange at both ends.
func gossipOverhead(o Options) (callCost, error) {
	probe := membership.Message{Kind: membership.Probe, Sender: member(0, 0), Target: member(1, 0).Node}
	response := membership.Message{Kind: membership.Ack, Sender: member(1, 0), Target: member(1, 0).Node}
	encoded := &fixedResponses{gossip: response.Encode()}
	e, err := newEndpoint(rpc.NewPeerServer(encoded))
	if err != nil {
		return callCost{}, err
	}
	defer e.stop()
	client := rpc.NewPeerProtobufClient(e.url, e.client)
	request := probe.Encode()
	cost, err := e.measure(o, func(ctx context.Context) error {
		_, err := client.Gossip(ctx, request)
		return err
	})
	cost.bytes -= float64(proto.Size(request) + proto.Size(encoded.gossip))
	return cost, err
}

// statusCost returns the cost of one poll of an engine's status, for both ends together.
func statusCost(o Options) (callCost, error) {
	body, err := json.Marshal(idleStatus(0, 0))
	if err != nil {
		return callCost{}, err
	}
	e, err := newEndpoint(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(body) }))
	if err != nil {
		return callCost{}, err
	}
	defer e.stop()
	return e.measure(o, func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url, nil)
		if err != nil {
			return err
		}
		response, err := e.client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		decoded := idleStatus(0, 0)
		return json.NewDecoder(response.Body).Decode(&decoded)
	})
}

// platformList returns the list of machines as the platform encodes it.
func platformList(engines int) ([]byte, error) {
	response := platform.MachinesResponse{}
	for number := range engines {
		response.Machines = append(response.Machines, machine(number, poolName(number%targetModels)))
	}
	return json.Marshal(response)
}

// platformListTime returns the processor time in microseconds to decode the list of machines.
func platformListTime(o Options, engines int) (float64, error) {
	body, err := platformList(engines)
	if err != nil {
		return 0, err
	}
	var failed error
	used := processorTimeOf(o.Sizes.ProcessorTime, func(int) {
		var response platform.MachinesResponse
		if err := json.Unmarshal(body, &response); err != nil || len(response.Machines) != engines {
			failed = errors.Errorf("list of machines not decoded completely: %v", err)
		}
	})
	return microseconds(used), failed
}

// callBytes and callTime select one component of a call's cost.
func callBytes(cost callCost, err error) (float64, error) { return cost.bytes, err }
func callTime(cost callCost, err error) (float64, error)  { return cost.microseconds, err }

// measureCalls measures the calls between agents, routers, engines and platform.
func measureCalls(o Options) ([]Slope, error) {
	linear := func(name, size, unit string, sizes []int, measure func(int) (float64, error)) quantity {
		return quantity{name: name, size: size, unit: unit, growth: GrowthLinear, sizes: sizes, measure: measure}
	}
	const bothEnds = "core-µs, both ends"
	return sweepAll(
		linear("Place call", "blocks in the prompt", "B", o.Sizes.PromptBlocks, func(size int) (float64, error) { return callBytes(placeCost(o, size)) }),
		linear("Place call", "blocks in the prompt", bothEnds, o.Sizes.PromptBlocks, func(size int) (float64, error) { return callTime(placeCost(o, size)) }),
		linear("Sync call, nothing new", "routers", "B", o.Sizes.Members, func(size int) (float64, error) { return callBytes(incrementalSyncCost(o, size)) }),
		linear("Sync call, nothing new", "routers", bothEnds, o.Sizes.Members, func(size int) (float64, error) { return callTime(incrementalSyncCost(o, size)) }),
		linear("Changes call that follows the list of machines, no news", "machines", "B", o.Sizes.Engines, func(size int) (float64, error) { return callBytes(machineListCost(o, size, false)) }),
		linear("Changes call that follows the list of machines, no news, both ends", "machines", "core-µs", o.Sizes.Engines, func(size int) (float64, error) { return callTime(machineListCost(o, size, false)) }),
		linear("Changes call that follows the list of machines, one changed", "machines", "B", o.Sizes.Engines, func(size int) (float64, error) { return callBytes(machineListCost(o, size, true)) }),
		linear("Changes call that follows the list of machines, one changed, both ends", "machines", "core-µs", o.Sizes.Engines, func(size int) (float64, error) { return callTime(machineListCost(o, size, true)) }),
		linear("Sync call with the whole list of routers", "routers", "B", o.Sizes.Members, func(size int) (float64, error) { return callBytes(syncCost(o, size, 0, 0)) }),
		linear("Sync call with a configuration, no routers", "tenants", "B", o.Sizes.Tenants, func(size int) (float64, error) { return callBytes(syncCost(o, 0, size, 0)) }),
		linear("Sync call with the list of engines, no routers", "engines", "B", o.Sizes.Engines, func(size int) (float64, error) { return callBytes(syncCost(o, 0, 0, size)) }),
		linear("platform's list of machines", "engines", "B", o.Sizes.Engines, func(size int) (float64, error) {
			body, err := platformList(size)
			return float64(len(body)), err
		}),
		linear("platform's list of machines, decoded", "engines", "core-µs", o.Sizes.Engines, func(size int) (float64, error) { return platformListTime(o, size) }),
	)
}

// measureExchanges measures the calls whose cost doesn't depend on the size of the fleet.
func measureExchanges(o Options) ([]Figure, error) {
	gossip, err := gossipOverhead(o)
	if err != nil {
		return nil, err
	}
	engineStatus, err := statusCost(o)
	return []Figure{
		{Name: "gossip exchange, bytes of HTTP and twirp", Unit: "B", Value: gossip.bytes},
		{Name: "gossip exchange, both ends", Unit: "core-µs", Value: gossip.microseconds},
		{Name: "poll of an engine's status", Unit: "B", Value: engineStatus.bytes},
		{Name: "poll of an engine's status, both ends", Unit: "core-µs", Value: engineStatus.microseconds},
	}, err
}

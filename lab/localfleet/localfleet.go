// Package localfleet runs a small fleet in one process on loopback: stand-ins for the platform and
// the engines, and the routers and the agent of the product. It serves demonstrations and tests.
package localfleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/router"
	"github.com/tillerfall/tillerfall/internal/settings"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/standin/engineserver"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

const (
	loopback           fleet.Address  = "127.0.0.1:0"
	zone               fleet.ZoneName = "zone-1"
	cacheBlocks                       = 8192
	eventDelay                        = 50 * time.Millisecond
	loadLag                           = 200 * time.Millisecond
	readyInterval                     = 20 * time.Millisecond
	initialCommitToken                = "initial"
)

// Options configures a Fleet.
type Options struct {
	// Document is the configuration that is committed at the start. Its first model is loaded on
	// every engine.
	Document config.Document
	Routers  int
	Engines  int
	// IndexReplicas is the number of routers that own each engine; 0 means all.
	IndexReplicas int
	// AgentAddress is the listen address of the agent.
	AgentAddress fleet.Address
	// Costs is the speed of the engines. The zero value selects enginemodel.DefaultCosts.
	Costs  enginemodel.Costs
	Logger zerolog.Logger
}

// Fleet is a running fleet.
type Fleet struct {
	options  Options
	platform *platformserver.Server
	client   *platform.Client
	engines  []*engineserver.Server
	routers  []*router.Router
	agent    *agent.Agent
}

// Start starts every component and waits until the agent is ready or the context ends. If a
// component fails to start, the others are stopped.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Costs == (enginemodel.Costs{}) {
		options.Costs = enginemodel.DefaultCosts()
	}
	f := &Fleet{options: options}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.startPlatform, f.startEngines, f.commitConfiguration, f.startRouters, f.startAgent,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform(context.Context) error {
	f.platform = platformserver.New(platformmodel.Options{FullSpeedLoads: 2}, f.options.Logger)
	if err := f.platform.Start(loopback); err != nil {
		return errors.Wrap(err, "start platform")
	}
	f.client = platform.NewClient(platform.ClientOptions{Address: f.platform.Address()})
	return nil
}

func (f *Fleet) startEngines(context.Context) error {
	model := f.options.Document.Models[0]
	machines := make([]platform.Machine, 0, f.options.Engines)
	for i := range f.options.Engines {
		id := fleet.EngineID(fmt.Sprintf("engine-%d", i+1))
		server := engineserver.New(engineserver.Config{
			Model:  f.engineModel(id, model),
			Logger: f.options.Logger,
		})
		if err := server.Start(loopback); err != nil {
			return errors.Wrapf(err, "start %s", id)
		}
		f.engines = append(f.engines, server)
		machines = append(machines, platform.Machine{
			ID: string(id), Kind: platform.MachineEngine, Address: server.Address(), Zone: zone,
			Pool: model.Pool, Incarnation: server.Status().Incarnation, State: platform.MachineLive,
		})
	}
	f.platform.SetMachines(machines)
	return nil
}

// engineModel returns an engine that has loaded the first version of the model.
func (f *Fleet) engineModel(id fleet.EngineID, model config.Model) enginemodel.Config {
	return enginemodel.Config{
		ID:          id,
		Zone:        zone,
		Costs:       f.options.Costs,
		CacheBlocks: cacheBlocks,
		BlockTokens: model.BlockTokens,
		EventDelay:  eventDelay,
		LoadLag:     loadLag,
		Loaded:      []engine.ModelVersion{{Model: model.Name, Version: model.Versions[0].Name}},
		KeepWeights: true,
	}
}

func (f *Fleet) commitConfiguration(ctx context.Context) error {
	store := config.NewStore(f.client, f.client, config.StoreOptions{})
	_, err := store.Commit(ctx, config.CommitRequest{
		Token:     initialCommitToken,
		Statement: "apply",
		Mutate:    func(config.Document) (config.Document, error) { return f.options.Document, nil },
	})
	if err != nil {
		return errors.Wrap(err, "commit configuration")
	}
	return nil
}

func (f *Fleet) startRouters(ctx context.Context) error {
	var peers []fleet.Address
	for i := range f.options.Routers {
		routerSettings := router.DefaultSettings()
		routerSettings.Node = nodeSettings(fmt.Sprintf("router-%d", i+1), loopback)
		routerSettings.Platform.Address = f.platform.Address()
		routerSettings.Peers = peers
		routerSettings.IndexReplicas = f.options.IndexReplicas
		instance := router.New(router.Options{Settings: routerSettings, Logger: f.options.Logger, Version: "embedded"})
		if err := instance.Start(); err != nil {
			return errors.Wrapf(err, "start %s", routerSettings.Node.ID)
		}
		f.routers = append(f.routers, instance)
		peers = append(peers, instance.Address())
	}
	for _, instance := range f.routers {
		if err := waitFor(ctx, instance.Ready); err != nil {
			return errors.Wrap(err, "wait for routers")
		}
	}
	return nil
}

func (f *Fleet) startAgent(ctx context.Context) error {
	agentSettings := agent.DefaultSettings()
	agentSettings.Node = nodeSettings("agent-1", f.options.AgentAddress)
	for _, instance := range f.routers {
		agentSettings.Routers = append(agentSettings.Routers, instance.Address())
	}
	instance, err := agent.New(agentSettings, agent.Dependencies{Logger: f.options.Logger})
	if err != nil {
		return errors.Wrap(err, "create agent")
	}
	if err := instance.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Wrap(err, "start agent")
	}
	f.agent = instance
	if err := waitFor(ctx, func() bool { return isReady(ctx, instance.Address()) }); err != nil {
		return errors.Wrap(err, "wait for agent")
	}
	return nil
}

// isReady reports whether the readiness endpoint of a process answers with success.
func isReady(ctx context.Context, address fleet.Address) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+agent.PathReady, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func nodeSettings(id string, address fleet.Address) settings.Node {
	return settings.Node{ID: id, Region: "region-1", Zone: zone, Address: address}
}

func waitFor(ctx context.Context, ready func() bool) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// AgentAddress returns the address that serves requests.
func (f *Fleet) AgentAddress() fleet.Address { return f.agent.Address() }

// RouterAddress returns the address of the first router, which accepts operator statements.
func (f *Fleet) RouterAddress() fleet.Address { return f.routers[0].Address() }

// EngineAddress returns the address of an engine, counted from 0.
func (f *Fleet) EngineAddress(index int) fleet.Address { return f.engines[index].Address() }

// EngineStatus returns the status of an engine, counted from 0.
func (f *Fleet) EngineStatus(index int) engine.Status { return f.engines[index].Status() }

// Stop stops every component, the agent first and the platform last, and joins their errors.
func (f *Fleet) Stop() error {
	var failures []error
	if f.agent != nil {
		failures = append(failures, f.agent.Stop())
	}
	for _, instance := range f.routers {
		failures = append(failures, instance.Stop())
	}
	for _, server := range f.engines {
		failures = append(failures, server.Stop())
	}
	if f.client != nil {
		f.client.Close()
		failures = append(failures, f.platform.Stop())
	}
	return errors.Join(failures...)
}

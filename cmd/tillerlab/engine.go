package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/logging"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/standin/engineserver"
)

// engineCommand runs a simulated engine until it is interrupted.
type engineCommand struct {
	ID          string        `long:"id" required:"yes" description:"Engine identifier"`
	Address     string        `long:"address" default:"127.0.0.1:0" description:"Numeric HOST:PORT to listen on"`
	Zone        string        `long:"zone" default:"zone-1" description:"Zone of the machine"`
	Weights     []string      `long:"weights" value-name:"MODEL[:ADAPTER]@VERSION" description:"Weights in memory at the start; may be given more than once"`
	CacheBlocks int           `long:"cache-blocks" default:"4096" description:"Blocks of KV cache"`
	BlockTokens int           `long:"block-tokens" default:"64" description:"Tokens in a block"`
	EventDelay  time.Duration `long:"event-delay" default:"50ms" description:"Delay of cache events"`
	EventLoss   float64       `long:"event-loss" default:"0" description:"Probability that a cache event is lost"`
	LoadLag     time.Duration `long:"load-lag" default:"200ms" description:"Age of reported load"`
	LogLevel    string        `long:"log-level" default:"info" description:"Least level that is logged"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	loaded, err := parseWeightsList(c.Weights)
	if err != nil {
		return err
	}
	server := engineserver.New(engineserver.Config{
		Model: enginemodel.Config{
			ID:          fleet.EngineID(c.ID),
			Zone:        fleet.ZoneName(c.Zone),
			Costs:       enginemodel.DefaultCosts(),
			CacheBlocks: c.CacheBlocks,
			BlockTokens: c.BlockTokens,
			EventDelay:  c.EventDelay,
			EventLoss:   c.EventLoss,
			LoadLag:     c.LoadLag,
			Loaded:      loaded,
			KeepWeights: true,
		},
		Logger: logging.New(os.Stderr, "engine", fleet.NodeID(c.ID), c.LogLevel),
	})
	if err := server.Start(fleet.Address(c.Address)); err != nil {
		return errors.Wrap(err, "start engine")
	}
	fmt.Printf("ready engine=%s address=%s\n", c.ID, server.Address())
	waitForInterrupt()
	return server.Stop()
}

func parseWeightsList(texts []string) ([]engine.ModelVersion, error) {
	weights := make([]engine.ModelVersion, 0, len(texts))
	for _, text := range texts {
		parsed, err := parseWeights(text)
		if err != nil {
			return nil, err
		}
		weights = append(weights, parsed)
	}
	return weights, nil
}

// parseWeights parses MODEL@VERSION or MODEL:ADAPTER@VERSION.
func parseWeights(text string) (engine.ModelVersion, error) {
	name, version, found := strings.Cut(text, "@")
	if !found || name == "" || version == "" {
		return engine.ModelVersion{}, errors.Errorf("weights %q: want MODEL[:ADAPTER]@VERSION", text)
	}
	model, adapter, _ := strings.Cut(name, ":")
	return engine.ModelVersion{
		Model:   fleet.ModelName(model),
		Adapter: fleet.AdapterName(adapter),
		Version: fleet.VersionName(version),
	}, nil
}

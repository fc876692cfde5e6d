package main

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/lab/capacity"
	"github.com/tillerfall/tillerfall/lab/hollow"
)

// hollowLimit bounds a hollow run.
const hollowLimit = 10 * time.Minute

// hollowCommand runs hollow routers beside a real fleet.
type hollowCommand struct {
	Config  string        `long:"config" default:"examples/config.yaml" description:"Configuration (YAML) of the real fleet"`
	Routers int           `long:"routers" default:"200" description:"Number of hollow routers"`
	Kills   int           `long:"kills" default:"20" description:"Hollow routers that crash together"`
	Changes int           `long:"changes" default:"10" description:"Commands given to a real router"`
	Steady  time.Duration `long:"steady" default:"20s" description:"Time for which the steady cost is measured"`
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the hollow routers"`
}

// Execute implements flags.Commander.
func (c *hollowCommand) Execute([]string) error {
	document, err := readConfiguration(c.Config)
	if err != nil {
		return err
	}
	if c.Kills >= c.Routers {
		return errors.Errorf("%d of %d hollow routers can't crash: one has to see it", c.Kills, c.Routers)
	}
	ctx, cancel := context.WithTimeout(context.Background(), hollowLimit)
	defer cancel()
	figures, err := hollow.Run(ctx, hollow.Options{
		Routers: c.Routers, Kills: c.Kills, Changes: c.Changes, Steady: c.Steady,
		Settle: hollow.DefaultSettle, Document: *document, Seed: c.Seed,
	})
	if writeErr := capacity.WriteFigures(os.Stdout, figures); err == nil && writeErr != nil {
		err = errors.Wrap(writeErr, "write figures")
	}
	return err
}

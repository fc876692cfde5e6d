package gateway

import (
	"context"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// trafficInterval is the time between two lines of the bytes counted: with lines of
// less than 2 KB a node logs some 30 MB a day for it.
const trafficInterval = 5 * time.Second

// place returns where this node is.
func (g *Gateway) place() membership.Location {
	return membership.Location{Zone: g.settings().Zone, Region: g.settings().Region}
}

// distanceTo returns how far a zone is.
func (g *Gateway) distanceTo(zone fleet.ZoneName) traffic.Distance {
	return traffic.Between(g.place(), membership.Location{Zone: zone, Region: g.settings().Zones[zone]})
}

// peerCall returns a context for a call to another gateway.
func (g *Gateway) peerCall(purpose traffic.Purpose, member membership.Member) context.Context {
	distance := traffic.Between(g.place(), membership.Location{Zone: member.Zone, Region: member.Region})
	return traffic.With(g.context(), purpose, distance)
}

// workerCall counts a call to a worker for the gateway's own sake and returns its context.
func (g *Gateway) workerCall(ctx context.Context, kind callKind, worker *backends.Worker) context.Context {
	g.noteCall(worker.ID, kind)
	ctx = g.noticesOf(ctx, noticed{worker: worker.ID, born: worker.StartTime, kind: kind})
	return traffic.With(ctx, traffic.WorkerCalls, g.distanceTo(worker.Zone))
}

// reportTraffic logs the bytes counted since the start.
func (g *Gateway) reportTraffic() error {
	for g.pause(trafficInterval) {
		line := g.logger.Info()
		for _, count := range g.outside.Traffic.Counts() {
			line = line.Uint64(count.Purpose.String()+"_"+count.Distance.String()+"_"+count.Direction.String(), count.Bytes)
		}
		line.Msg("bytes_counted")
	}
	return nil
}

package gateway

import (
	"context"
	"net"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// trafficLogInterval is the time between two log lines with the counted bytes.
// At under 2 KB a line a node logs about 30 MB a day for it.
const trafficLogInterval = 5 * time.Second

// location returns this gateway's zone and region.
func (g *Gateway) location() membership.Location {
	return membership.Location{Zone: g.settings().Zone, Region: g.settings().Region}
}

// distanceTo returns the distance between this gateway and a zone.
func (g *Gateway) distanceTo(zone fleet.ZoneName) traffic.Distance {
	return traffic.Between(g.location(), membership.Location{Zone: zone, Region: g.settings().Zones[zone]})
}

// peerCallContext returns a context for a call to another gateway, which counts its traffic.
func (g *Gateway) peerCallContext(purpose traffic.Purpose, member membership.Member) context.Context {
	distance := traffic.Between(g.location(), membership.Location{Zone: member.Zone, Region: member.Region})
	return traffic.With(g.context(), purpose, distance)
}

// workerCallContext counts a call to a worker other than a caller's request, and returns a context
// for it that counts its traffic and handles its notices.
func (g *Gateway) workerCallContext(ctx context.Context, kind callKind, worker *backends.Worker) context.Context {
	g.countCall(worker.ID, kind)
	ctx = g.withNoticesFrom(ctx, noticeSource{worker: worker.ID, startTime: worker.StartTime, kind: kind})
	if kind != callOrder {
		ctx = g.withWorkerDial(ctx, worker.ID)
	}
	return traffic.With(ctx, traffic.WorkerCalls, g.distanceTo(worker.Zone))
}

// withWorkerDial returns a context for calls to a worker whose connection may go through another
// gateway. Orders must not: a worker would get those of one holder from two machines.
func (g *Gateway) withWorkerDial(ctx context.Context, worker fleet.EngineID) context.Context {
	var dial traffic.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, upstream.DefaultDialTimeout)
		defer cancel()
		return g.dialWorker(ctx, upstream.Destination{Engine: worker, Address: fleet.Address(address)})
	}
	return context.WithValue(ctx, workerDialKey{}, dial)
}

// reportTraffic periodically logs the bytes counted since the start.
func (g *Gateway) reportTraffic() error {
	for g.pause(trafficLogInterval) {
		line := g.logger.Info()
		for _, count := range g.dependencies.Traffic.Counts() {
			line = line.Uint64(count.Purpose.String()+"_"+count.Distance.String()+"_"+count.Direction.String(), count.Bytes)
		}
		line.Msg("bytes_counted")
	}
	return nil
}

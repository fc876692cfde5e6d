package gateway

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// maxTenantWork bounds the engine time that a peer may report for a tenant: what 10,000 engines do in
// the time that the amounts cover, with room to spare.
const maxTenantWork = 12 * time.Hour

// callerWaits returns for how long the caller still waits, at least 1 ms, if the route has a target and
// a timeout and the request a tenant; otherwise 0, and the overload control doesn't limit the request.
func (g *Gateway) callerWaits(current *callerRequest) time.Duration {
	if current.tenant == nil || current.route.Timeout <= 0 || current.route.TargetLatency <= 0 {
		return 0
	}
	return max(current.timeLeft(g.now()), time.Millisecond)
}

// reportLateRefusal counts and logs a request that is refused because it would wait for too long.
func (g *Gateway) reportLateRefusal(current *callerRequest, refused *backends.Refusal) {
	g.metrics.overload.refusals.WithLabelValues(string(refused.Limit.Cause)).Inc()
	line := g.events.line("refused_late").Str("request_id", current.metadata.RequestID).Str("route", current.route.Name).
		Str("cause", string(refused.Limit.Cause)).Int("priority", priorityOf(current)).Dur("allowed_wait", refused.Limit.Wait).
		Dur("retry_after", refused.RetryAfter)
	if current.tenant != nil {
		line = line.Str("tenant", string(current.tenant.Name)).Float64("share", refused.Limit.Share).Float64("use", refused.Limit.Use)
	}
	line.Msg("refused_late")
}

// encodeTenantWork returns the engine time of this gateway's requests by service and tenant.
func encodeTenantWork(work map[fleet.PoolName][]overload.Use) []*rpc.TenantWork {
	var encoded []*rpc.TenantWork
	for service, uses := range work {
		for _, use := range uses {
			encoded = append(encoded, &rpc.TenantWork{
				Service: string(service), Tenant: string(use.Tenant), Millis: encodeMillis(use.Used), RefusedMillis: encodeMillis(use.Unmet),
			})
		}
	}
	return encoded
}

// encodeMillis returns an amount in whole milliseconds, as far as a peer accepts it.
func encodeMillis(amount time.Duration) uint32 {
	return uint32(min(amount, maxTenantWork).Milliseconds())
}

// decodeTenantWork decodes a peer's report. Unreadable entries are left out and reported.
func (g *Gateway) decodeTenantWork(encoded []*rpc.TenantWork) map[fleet.PoolName][]overload.Use {
	work := make(map[fleet.PoolName][]overload.Use)
	for _, entry := range encoded {
		use, err := decodeUse(entry)
		if err != nil {
			g.reportInvalidInput("", []InvalidInput{{Source: "tenant_work", Key: entry.GetTenant(), Err: err}})
			continue
		}
		service := fleet.PoolName(entry.GetService())
		work[service] = append(work[service], use)
	}
	return work
}

func decodeUse(entry *rpc.TenantWork) (overload.Use, error) {
	used, usedErr := decodeMillis(entry.GetMillis())
	unmet, unmetErr := decodeMillis(entry.GetRefusedMillis())
	switch {
	case entry.GetService() == "" || entry.GetTenant() == "":
		return overload.Use{}, errors.New("work without service or tenant")
	case usedErr != nil:
		return overload.Use{}, errors.Wrap(usedErr, "work")
	case unmetErr != nil:
		return overload.Use{}, errors.Wrap(unmetErr, "refused work")
	default:
		return overload.Use{Tenant: fleet.TenantName(entry.GetTenant()), Used: used, Unmet: unmet}, nil
	}
}

func decodeMillis(millis uint32) (time.Duration, error) {
	amount := time.Duration(millis) * time.Millisecond
	if amount > maxTenantWork {
		return 0, errors.Errorf("%s is more than %s", amount, maxTenantWork)
	}
	return amount, nil
}

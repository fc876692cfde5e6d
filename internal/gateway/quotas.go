package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/quota"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

const (
	// usageTimeout bounds one exchange of tenants' usage.
	usageTimeout = 250 * time.Millisecond
	// usageReportPeriod is how long after the last request of a tenant with a quota a gateway that
	// doesn't serve reports its usage to the serving gateways.
	usageReportPeriod = 3 * time.Second
	// unknownRate marks a report without the sender's request rate.
	unknownRate = -1
)

// quotas wraps the limiter of tenants for concurrent use.
type quotas struct {
	mutex   sync.Mutex
	limiter *quota.Limiter
	// tickets are the times to return that refused callers were told.
	tickets *returnTickets
}

func newQuotas(now time.Duration, settings Settings) *quotas {
	return &quotas{tickets: newReturnTickets(), limiter: quota.NewLimiter(now, quota.Options{
		Slack:      settings.QuotaSlack,
		Overshoot:  settings.QuotaOvershoot,
		Window:     settings.QuotaWindow,
		Standalone: !settings.hasOtherSeeds(),
		FirstStart: settings.FirstStart,
	})}
}

// setLimits applies the quotas of a configuration.
func (q *quotas) setLimits(now time.Duration, tenants []routes.Tenant) {
	limits := make(map[fleet.TenantName]quota.Limit, len(tenants))
	for index := range tenants {
		if tenantQuota := tenants[index].Quota; tenantQuota != nil {
			limits[tenants[index].Name] = quota.Limit{Rate: tenantQuota.Rate, Burst: tenantQuota.Burst}
		}
	}
	q.tickets.setLimits(limits)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.SetLimits(now, limits)
}

func (q *quotas) admit(now time.Duration, request quota.Request) quota.Decision {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.Admit(now, request)
}

// ownFraction returns this gateway's part of a limit that belongs to it and its reachable peers; 0
// while it is joining.
func (q *quotas) ownFraction(now time.Duration) float64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.limiter.IsJoining(now) {
		return 0
	}
	return q.limiter.OwnFraction()
}

func (q *quotas) charge(now time.Duration, tenant fleet.TenantName, cost float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Charge(now, tenant, cost)
}

func (q *quotas) refund(now time.Duration, tenant fleet.TenantName, cost float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Refund(now, tenant, cost)
}

// isUnlimited reports whether no tenant has a quota.
func (q *quotas) isUnlimited() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.IsUnlimited()
}

func (q *quotas) isNearLimit(now time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.IsNearLimit(now)
}

// isJoining reports whether this gateway doesn't know the usage before its start yet.
func (q *quotas) isJoining(now time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.IsJoining(now)
}

// hasReportedSince reports whether a gateway has reported its usage since a time.
func (q *quotas) hasReportedSince(node fleet.NodeID, at time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.HasReportedSince(node, at)
}

// writeReport adds this gateway's usage to a report to another gateway.
func (q *quotas) writeReport(now time.Duration, report *rpc.LoadReport, to fleet.NodeID) {
	q.tickets.writeReport(now, report, to)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	report.UsesTold = true
	report.QuotaNewcomer = q.limiter.IsJoining(now)
	for _, use := range q.limiter.Usages(now, to) {
		usage := &rpc.TenantUse{Tenant: string(use.Tenant), Total: use.Total, Deficit: use.Deficit, Heard: use.Acknowledged, Demand: encodeDemand(use.Demand)}
		if report.QuotaNewcomer {
			usage.Recent = use.Recent
		}
		report.TenantUses = append(report.TenantUses, usage)
	}
}

// applyReport records another gateway's usage, if its report contains it. It returns what could not
// be decoded.
func (q *quotas) applyReport(now time.Duration, report *rpc.LoadReport) []InvalidInput {
	if !report.GetUsesTold() {
		return nil
	}
	q.tickets.applyReport(now, report)
	var invalid []InvalidInput
	usage := quota.Report{
		Node:        fleet.NodeID(report.GetNode()),
		Machine:     lease.HolderID(report.GetNode()).Machine(),
		Joining:     report.GetQuotaNewcomer(),
		RequestRate: decodeRate(report.GetRequestRate()),
	}
	if report.GetPartial() {
		usage.RequestRate = unknownRate
	}
	for _, use := range report.GetTenantUses() {
		demand, err := decodeDemand(use.GetDemand())
		if err != nil {
			invalid = append(invalid, InvalidInput{Source: "tenant_demand", Key: use.GetTenant(), Err: err})
		}
		usage.Usages = append(usage.Usages, quota.Usage{
			Tenant: fleet.TenantName(use.GetTenant()), Total: use.GetTotal(), Recent: use.GetRecent(),
			Deficit: use.GetDeficit(), Acknowledged: use.GetHeard(), Demand: demand,
		})
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Observe(now, usage)
	return invalid
}

// setPeers sets the gateways that this one shares loads with. Other gateways that have reported
// and are still alive now report elsewhere and are forgotten; the shares of gateways that are
// suspected or gone remain reserved.
func (q *quotas) setPeers(now time.Duration, ownRate float64, peers []membership.Member, view *membership.View) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.SetOwnRate(ownRate)
	q.limiter.SetReportRounds((len(peers) + loadExchangeFanout - 1) / loadExchangeFanout)
	present := make(map[fleet.NodeID]bool, len(peers))
	for _, member := range peers {
		present[member.Node] = true
		if member.Node != view.Self.Node {
			q.limiter.AddPeer(now, member.Node, lease.HolderID(member.Node).Machine())
		}
	}
	for _, node := range q.limiter.Peers() {
		if member, found := view.Find(node); !present[node] && found && member.State != membership.Suspect {
			q.limiter.RemovePeer(now, node)
		}
	}
}

// forgetPeers drops the usage of other gateways when this gateway no longer receives all reports.
func (q *quotas) forgetPeers(now time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Leave(now)
}

// quotaRequest returns the request that is decided on by its tenant's quota. The tenant's own priority
// is the same for all of them and doesn't count.
func quotaRequest(current *callerRequest, cost float64) quota.Request {
	request := quota.Request{Tenant: current.tenant.Name, Amount: cost}
	if current.route != nil {
		request.Priority = min(max(current.route.Priority, 0), quota.PriorityCount-1)
	}
	return request
}

// chargeQuota charges a request's cost to its tenant's quota. It returns a refusal if the quota is
// exceeded.
func (g *Gateway) chargeQuota(current *callerRequest) *refusal {
	if current.tenant == nil || current.tenant.Quota == nil {
		return nil
	}
	g.lastLimitedRequest.Store(int64(g.now()))
	cost := current.tenant.Quota.Cost(current.metadata.PromptTokens, current.metadata.OutputTokens, current.metadata.HasTokenCounts)
	request := quotaRequest(current, cost)
	decision, offer := g.admitReturning(current, request)
	g.metrics.quotaDecisions.count(decision.Cause)
	tenant := string(current.tenant.Name)
	if decision.Admitted {
		current.quotaCost = cost
		g.metrics.quotaUnits.WithLabelValues(tenant, "admitted").Add(cost)
		return nil
	}
	g.metrics.quotaUnits.WithLabelValues(tenant, "refused").Add(cost)
	g.metrics.quotaShare.WithLabelValues(tenant).Set(decision.Share)
	g.events.line("tenant_limited").Str("request_id", current.metadata.RequestID).Str("tenant", tenant).
		Float64("cost", cost).Float64("rate", decision.Limit.Rate).Float64("burst", decision.Limit.Burst).
		Float64("available", decision.Available).Float64("share", decision.Share).
		Int("priority", request.Priority).Float64("reserved", decision.Reserved).Stringer("cause", decision.Cause).
		Dur("retry_after", offer.RetryAfter).Bool("kept", offer.Kept).Msg("tenant_limited")
	return &refusal{code: resultcode.QuotaExceeded, reason: "quota exceeded", retryAfter: max(offer.RetryAfter, shortRetryAfter)}
}

// chargeRerun charges the cost of a further run to the tenant's quota.
func (g *Gateway) chargeRerun(current *callerRequest) {
	if current.quotaCost > 0 && current.attempts.MayHaveRun() {
		g.quotas.charge(g.now(), current.tenant.Name, current.quotaCost)
	}
}

// refundIfNotRun refunds the charge of a request that didn't run.
func (g *Gateway) refundIfNotRun(current *callerRequest) {
	if current.quotaCost > 0 && (current.attempts == nil || !current.attempts.MayHaveRun()) {
		g.quotas.refund(g.now(), current.tenant.Name, current.quotaCost)
	}
}

// runUsageExchange exchanges usage with the gateways that share loads while a tenant is near its
// quota or this gateway is joining. It does so more often than loads are shared.
func (g *Gateway) runUsageExchange() error {
	for g.pauseForUsage() {
		g.reportLapses()
		if !g.quotas.isNearLimit(g.now()) && !g.quotas.isJoining(g.now()) {
			continue
		}
		for _, member := range g.usagePeers() {
			if !g.quotas.hasReportedSince(member.Node, g.now()-quota.NearLimitInterval) {
				go g.exchangeUsage(member)
			}
		}
	}
	return nil
}

// unlimitedInterval is the time between two checks while no tenant has a quota.
const unlimitedInterval = time.Second

// pauseForUsage waits until usage is to be checked again. It returns false when the process ends.
func (g *Gateway) pauseForUsage() bool {
	if g.configuration.Current() != nil && g.quotas.isUnlimited() {
		return g.pauseInterval(unlimitedInterval)
	}
	return g.pause(quota.NearLimitInterval)
}

// updateUsagePeers updates the gateways whose usage this gateway expects. A gateway that receives
// requests although it isn't a serving one exchanges usage with the serving gateways.
func (g *Gateway) updateUsagePeers() {
	peers := g.usagePeers()
	if len(peers) == 0 {
		g.quotas.forgetPeers(g.now())
		return
	}
	g.quotas.setPeers(g.now(), g.demand.ownRate(), peers, g.peers.View())
	if len(g.loadPeers()) > 0 {
		return
	}
	for _, member := range peers {
		go g.exchangeUsage(member)
	}
	for _, member := range g.addDirectors(nil) {
		go g.exchangeDeliveries(member)
	}
}

// usagePeers returns the gateways to which this one reports its usage: those that share loads or,
// if this gateway is not a serving one and has recently received requests of tenants with quotas,
// the serving gateways. Other requests cause no exchange, to limit traffic in a large fleet.
func (g *Gateway) usagePeers() []membership.Member {
	if peers := g.loadPeers(); len(peers) > 0 {
		return peers
	}
	last := time.Duration(g.lastLimitedRequest.Load())
	if last == 0 || g.now() > last+usageReportPeriod {
		return nil
	}
	return g.roles.Load().Serving
}

// applyQuotaReport records another gateway's usage.
func (g *Gateway) applyQuotaReport(now time.Duration, report *rpc.LoadReport) {
	g.reportInvalidInput("", g.quotas.applyReport(now, report))
}

// exchangeUsage reports this gateway's usage to another gateway and records that gateway's usage.
func (g *Gateway) exchangeUsage(member membership.Member) {
	if member.Node == g.node {
		return
	}
	ctx, cancel := context.WithTimeout(g.peerCallContext(traffic.QuotaReports, member), usageTimeout)
	defer cancel()
	report := &rpc.LoadReport{Node: string(g.node), Partial: true}
	g.quotas.writeReport(g.now(), report, member.Node)
	response, err := g.peers.ExchangeLoad(ctx, member.Address, report)
	if err != nil {
		g.metrics.peerFailures.Inc()
		return
	}
	g.applyQuotaReport(g.now(), response)
}

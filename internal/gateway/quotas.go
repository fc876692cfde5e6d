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

// Times of the talk about quotas.
const (
	// usageTimeout bounds one exchange of what tenants have used.
	usageTimeout = 250 * time.Millisecond
	// usageReportPeriod is how long after a request of a tenant with a limit a node that callers
	// aren't sent to tells those that serve what it has admitted.
	usageReportPeriod = 3 * time.Second
	// unknownRate marks a report that doesn't tell the sender's rate of requests.
	unknownRate = -1
)

// quotas makes the limiter of tenants safe for concurrent use.
type quotas struct {
	mutex   sync.Mutex
	limiter *quota.Limiter
}

func newQuotas(now time.Duration, settings Settings) *quotas {
	return &quotas{limiter: quota.NewLimiter(now, quota.Options{
		Slack:      settings.QuotaSlack,
		Overshoot:  settings.QuotaOvershoot,
		Window:     settings.QuotaWindow,
		Single:     !settings.hasOtherSeeds(),
		FirstStart: settings.FirstStart,
	})}
}

// setLimits puts the limits of a configuration in force.
func (q *quotas) setLimits(now time.Duration, tenants []routes.Tenant) {
	limits := make(map[fleet.TenantName]quota.Limit, len(tenants))
	for index := range tenants {
		if bound := tenants[index].Quota; bound != nil {
			limits[tenants[index].Name] = quota.Limit{Rate: bound.Rate, Burst: bound.Burst}
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.SetLimits(now, limits)
}

func (q *quotas) admit(now time.Duration, tenant fleet.TenantName, cost float64) quota.Decision {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.Admit(now, tenant, cost)
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

// isUnlimited tells whether no tenant has a limit.
func (q *quotas) isUnlimited() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.Unlimited()
}

func (q *quotas) isNearLimit(now time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.Near(now)
}

// isNewcomer tells whether this node doesn't know yet what was used before its start.
func (q *quotas) isNewcomer(now time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.Newcomer(now)
}

// hasReportedSince tells whether a node has told what it admits since a time.
func (q *quotas) hasReportedSince(node fleet.NodeID, at time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.HeardSince(node, at)
}

// writeReport adds what this node has admitted to a report to another node.
func (q *quotas) writeReport(now time.Duration, report *rpc.LoadReport, to fleet.NodeID) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	report.UsesTold = true
	report.QuotaNewcomer = q.limiter.Newcomer(now)
	for _, use := range q.limiter.Uses(now, to) {
		told := &rpc.TenantUse{Tenant: string(use.Tenant), Total: use.Total, Deficit: use.Deficit, Heard: use.Heard}
		if report.QuotaNewcomer {
			told.Recent = use.Recent
		}
		report.TenantUses = append(report.TenantUses, told)
	}
}

// applyReport takes in what another node has admitted, if its report tells that.
func (q *quotas) applyReport(now time.Duration, report *rpc.LoadReport) {
	if !report.GetUsesTold() {
		return
	}
	told := quota.Report{
		Node:        fleet.NodeID(report.GetNode()),
		Machine:     lease.HolderID(report.GetNode()).Machine(),
		Newcomer:    report.GetQuotaNewcomer(),
		RequestRate: decodeRate(report.GetRequestRate()),
	}
	if report.GetPartial() {
		told.RequestRate = unknownRate
	}
	for _, use := range report.GetTenantUses() {
		told.Uses = append(told.Uses, quota.Use{
			Tenant: fleet.TenantName(use.GetTenant()), Total: use.GetTotal(), Recent: use.GetRecent(),
			Deficit: use.GetDeficit(), Heard: use.GetHeard(),
		})
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Observe(now, told)
}

// expectPeers names the nodes that this one shares loads with. Others that have told
// something and are still alive report to somebody else; those that are gone are left
// their part.
func (q *quotas) expectPeers(now time.Duration, ownRate float64, peers []membership.Member, view *membership.View) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.SetOwnRate(ownRate)
	q.limiter.SetRounds((len(peers) + shareFanout - 1) / shareFanout)
	present := make(map[fleet.NodeID]bool, len(peers))
	for _, member := range peers {
		present[member.Node] = true
		if member.Node != view.Self.Node {
			q.limiter.Expect(now, member.Node, lease.HolderID(member.Node).Machine())
		}
	}
	for _, node := range q.limiter.Peers() {
		if member, found := view.Find(node); !present[node] && found && member.State != membership.Suspect {
			q.limiter.Forget(now, node)
		}
	}
}

// forgetPeers forgets what others have told: this node no longer hears of all.
func (q *quotas) forgetPeers(now time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Leave(now)
}

// chargeQuota takes a request's cost out of its tenant's quota, or refuses it.
func (g *Gateway) chargeQuota(current *callerRequest) *refusal {
	if current.tenant == nil || current.tenant.Quota == nil {
		return nil
	}
	g.lastLimited.Store(int64(g.now()))
	cost := current.tenant.Quota.Cost(current.metadata.PromptTokens, current.metadata.OutputTokens, current.metadata.TokensNamed)
	decision := g.quotas.admit(g.now(), current.tenant.Name, cost)
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
		Dur("retry_after", decision.RetryAfter).Msg("tenant_limited")
	return &refusal{code: resultcode.QuotaExceeded, reason: "quota exceeded", retryAfter: max(decision.RetryAfter, shortRetryAfter)}
}

// chargeRerun takes the cost of a further run out of the tenant's quota.
func (g *Gateway) chargeRerun(current *callerRequest) {
	if current.quotaCost > 0 && current.attempts.MayHaveRun() {
		g.quotas.charge(g.now(), current.tenant.Name, current.quotaCost)
	}
}

// refundIfNotRun gives back what a request was charged that didn't run.
func (g *Gateway) refundIfNotRun(current *callerRequest) {
	if current.quotaCost > 0 && (current.attempts == nil || !current.attempts.MayHaveRun()) {
		g.quotas.refund(g.now(), current.tenant.Name, current.quotaCost)
	}
}

// driveUsageExchange tells the nodes that share loads what tenants near their limits have used,
// and asks them, more often than loads are shared.
func (g *Gateway) driveUsageExchange() error {
	for g.pauseForUsage() {
		if !g.quotas.isNearLimit(g.now()) && !g.quotas.isNewcomer(g.now()) {
			continue
		}
		for _, member := range g.usagePeers() {
			if !g.quotas.hasReportedSince(member.Node, g.now()-quota.NearInterval) {
				go g.exchangeUsage(member)
			}
		}
	}
	return nil
}

// unlimitedInterval is the time between two looks at uses while no tenant has a limit.
const unlimitedInterval = time.Second

// pauseForUsage waits until the next look at what tenants near their limits have used. It
// returns false when the process ends.
func (g *Gateway) pauseForUsage() bool {
	if g.holder.Current() != nil && g.quotas.isUnlimited() {
		return g.pauseOrRest(unlimitedInterval)
	}
	return g.pause(quota.NearInterval)
}

// updateUsagePeers keeps up to date whose use this node hears of. A node that carries
// requests although callers aren't sent to it asks those to which they are.
func (g *Gateway) updateUsagePeers() {
	peers := g.usagePeers()
	if len(peers) == 0 {
		g.quotas.forgetPeers(g.now())
		return
	}
	g.quotas.expectPeers(g.now(), g.demand.ownRate(), peers, g.peers.View())
	if len(g.loadPeers()) > 0 {
		return
	}
	for _, member := range peers {
		go g.exchangeUsage(member)
	}
	for _, member := range g.withDirectors(nil) {
		go g.exchangeDeliveries(member)
	}
}

// usagePeers returns the nodes that this one tells what it admits: those that share
// loads, or, if callers aren't sent to it and some of limited tenants have come, those that
// serve. Requests of others cause no talk, which would be most of a large fleet's.
func (g *Gateway) usagePeers() []membership.Member {
	if peers := g.loadPeers(); len(peers) > 0 {
		return peers
	}
	last := time.Duration(g.lastLimited.Load())
	if last == 0 || g.now() > last+usageReportPeriod {
		return nil
	}
	return g.roles.Load().Serving
}

// exchangeUsage tells one node what this one has admitted, and learns the same.
func (g *Gateway) exchangeUsage(member membership.Member) {
	if member.Node == g.node {
		return
	}
	ctx, cancel := context.WithTimeout(g.peerCallContext(traffic.Uses, member), usageTimeout)
	defer cancel()
	report := &rpc.LoadReport{Node: string(g.node), Partial: true}
	g.quotas.writeReport(g.now(), report, member.Node)
	answer, err := g.peers.ExchangeLoad(ctx, member.Address, report)
	if err != nil {
		g.metrics.shareFailures.Inc()
		return
	}
	g.quotas.applyReport(g.now(), answer)
}

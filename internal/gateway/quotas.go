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
	// useTimeout bounds one exchange of what tenants have used.
	useTimeout = 250 * time.Millisecond
	// carryingFor is how long after a request of a tenant with a limit a node that callers
	// aren't sent to tells those that serve what it has admitted.
	carryingFor = 3 * time.Second
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
		Standalone: !settings.hasOtherSeeds(),
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

// unlimited tells whether no tenant has a limit.
func (q *quotas) unlimited() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.IsUnlimited()
}

func (q *quotas) near(now time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.IsNearLimit(now)
}

// newcomer tells whether this node doesn't know yet what was used before its start.
func (q *quotas) newcomer(now time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.IsJoining(now)
}

// heardSince tells whether a node has told what it admits since a time.
func (q *quotas) heardSince(node fleet.NodeID, at time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.HasReportedSince(node, at)
}

// write adds what this node has admitted to a report to another node.
func (q *quotas) write(now time.Duration, report *rpc.LoadReport, to fleet.NodeID) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	report.UsesTold = true
	report.QuotaNewcomer = q.limiter.IsJoining(now)
	for _, use := range q.limiter.Usages(now, to) {
		told := &rpc.TenantUse{Tenant: string(use.Tenant), Total: use.Total, Deficit: use.Deficit, Heard: use.Acknowledged}
		if report.QuotaNewcomer {
			told.Recent = use.Recent
		}
		report.TenantUses = append(report.TenantUses, told)
	}
}

// take takes in what another node has admitted, if its report tells that.
func (q *quotas) take(now time.Duration, report *rpc.LoadReport) {
	if !report.GetUsesTold() {
		return
	}
	told := quota.Report{
		Node:        fleet.NodeID(report.GetNode()),
		Machine:     lease.HolderID(report.GetNode()).Machine(),
		Joining:     report.GetQuotaNewcomer(),
		RequestRate: decodeRate(report.GetRequestRate()),
	}
	if report.GetPartial() {
		told.RequestRate = unknownRate
	}
	for _, use := range report.GetTenantUses() {
		told.Usages = append(told.Usages, quota.Usage{
			Tenant: fleet.TenantName(use.GetTenant()), Total: use.GetTotal(), Recent: use.GetRecent(),
			Deficit: use.GetDeficit(), Acknowledged: use.GetHeard(),
		})
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Observe(now, told)
}

// expect names the nodes that this one shares loads with. Others that have told
// something and are still alive report to somebody else; those that are gone are left
// their part.
func (q *quotas) expect(now time.Duration, ownRate float64, peers []membership.Member, view *membership.View) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.SetOwnRate(ownRate)
	q.limiter.SetReportRounds((len(peers) + shareFanout - 1) / shareFanout)
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

// leave forgets what others have told: this node no longer hears of all.
func (q *quotas) leave(now time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Leave(now)
}

// chargeTenant takes a request's cost out of its tenant's quota, or refuses it.
func (g *Gateway) chargeTenant(current *carried) *refusal {
	if current.tenant == nil || current.tenant.Quota == nil {
		return nil
	}
	g.lastLimited.Store(int64(g.now()))
	cost := current.tenant.Quota.Cost(current.metadata.PromptTokens, current.metadata.OutputTokens, current.metadata.TokensNamed)
	decision := g.quotas.admit(g.now(), current.tenant.Name, cost)
	tenant := string(current.tenant.Name)
	if decision.Admitted {
		current.cost = cost
		g.metrics.quotaUnits.WithLabelValues(tenant, "admitted").Add(cost)
		return nil
	}
	g.metrics.quotaUnits.WithLabelValues(tenant, "refused").Add(cost)
	g.metrics.quotaShare.WithLabelValues(tenant).Set(decision.Share)
	g.events.line("tenant_limited").Str("request_id", current.metadata.RequestID).Str("tenant", tenant).
		Float64("cost", cost).Float64("rate", decision.Limit.Rate).Float64("burst", decision.Limit.Burst).
		Float64("available", decision.Available).Float64("share", decision.Share).
		Dur("retry_after", decision.RetryAfter).Msg("tenant_limited")
	return &refusal{code: resultcode.QuotaExceeded, reason: "quota exceeded", retryAfter: max(decision.RetryAfter, retrySoon)}
}

// chargeAgain takes the cost of a further run out of the tenant's quota.
func (g *Gateway) chargeAgain(current *carried) {
	if current.cost > 0 && current.machine.MayHaveRun() {
		g.quotas.charge(g.now(), current.tenant.Name, current.cost)
	}
}

// refundUnrun gives back what a request was charged that didn't run.
func (g *Gateway) refundUnrun(current *carried) {
	if current.cost > 0 && (current.machine == nil || !current.machine.MayHaveRun()) {
		g.quotas.refund(g.now(), current.tenant.Name, current.cost)
	}
}

// shareUses tells the nodes that share loads what tenants near their limits have used,
// and asks them, more often than loads are shared.
func (g *Gateway) shareUses() error {
	for g.pauseForUses() {
		if !g.quotas.near(g.now()) && !g.quotas.newcomer(g.now()) {
			continue
		}
		for _, member := range g.usePeers() {
			if !g.quotas.heardSince(member.Node, g.now()-quota.NearLimitInterval) {
				go g.exchangeUses(member)
			}
		}
	}
	return nil
}

// unlimitedPause is the time between two looks at uses while no tenant has a limit.
const unlimitedPause = time.Second

// pauseForUses waits until the next look at what tenants near their limits have used. It
// returns false when the process ends.
func (g *Gateway) pauseForUses() bool {
	if g.holder.Current() != nil && g.quotas.unlimited() {
		return g.pauseOrRest(unlimitedPause)
	}
	return g.pause(quota.NearLimitInterval)
}

// followUsers keeps up to date whose use this node hears of. A node that carries
// requests although callers aren't sent to it asks those to which they are.
func (g *Gateway) followUsers() {
	peers := g.usePeers()
	if len(peers) == 0 {
		g.quotas.leave(g.now())
		return
	}
	g.quotas.expect(g.now(), g.demand.own(), peers, g.peers.View())
	if len(g.loadPeers()) > 0 {
		return
	}
	for _, member := range peers {
		go g.exchangeUses(member)
	}
	for _, member := range g.withDirectors(nil) {
		go g.exchangeDeliveries(member)
	}
}

// usePeers returns the nodes that this one tells what it admits: those that share
// loads, or, if callers aren't sent to it and some of limited tenants have come, those that
// serve. Requests of others cause no talk, which would be most of a large fleet's.
func (g *Gateway) usePeers() []membership.Member {
	if peers := g.loadPeers(); len(peers) > 0 {
		return peers
	}
	last := time.Duration(g.lastLimited.Load())
	if last == 0 || g.now() > last+carryingFor {
		return nil
	}
	return g.roles.Load().Serving
}

// exchangeUses tells one node what this one has admitted, and learns the same.
func (g *Gateway) exchangeUses(member membership.Member) {
	if member.Node == g.node {
		return
	}
	ctx, cancel := context.WithTimeout(g.peerCall(traffic.Uses, member), useTimeout)
	defer cancel()
	report := &rpc.LoadReport{Node: string(g.node), Partial: true}
	g.quotas.write(g.now(), report, member.Node)
	answer, err := g.peers.ExchangeLoad(ctx, member.Address, report)
	if err != nil {
		g.metrics.shareFailures.Inc()
		return
	}
	g.quotas.take(g.now(), answer)
}

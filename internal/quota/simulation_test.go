package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Times of the simulated talk.
const (
	simStep     = 5 * time.Millisecond
	simExchange = 600 * time.Millisecond
	simNear     = NearLimitInterval
)

// simNode is one node of a simulated fleet.
type simNode struct {
	limiter *Limiter
	id      fleet.NodeID
	machine string
	// offset and ratePercent make the node's clock.
	offset      time.Duration
	ratePercent int64
	// side is the side of a partition on which the node is.
	side int
	// down is until when the node is dead, frozen until when it does nothing at all.
	down   time.Duration
	frozen time.Duration
	// rate is the node's requests a second, smoothed as the gateway does.
	rate    float64
	arrived int
	next    time.Duration
	nearAt  time.Duration
}

func (n *simNode) clock(now time.Duration) time.Duration {
	return n.offset + now*time.Duration(n.ratePercent)/100
}

// simFleet is a fleet whose nodes tell each other what they admit.
type simFleet struct {
	random *rand.Rand
	nodes  []*simNode
	limits map[fleet.TenantName]Limit
	// setup is what nodes are started with.
	setup Options
	runs  int
	now   time.Duration
	log   []simUse
	// inFlight are reports on their way.
	inFlight []simReport
	// decided is called for each decision, if set.
	decided func(amount float64, decision Decision)
}

type simUse struct {
	at     time.Duration
	tenant fleet.TenantName
	amount float64
}

type simReport struct {
	at     time.Duration
	from   *simNode
	to     *simNode
	report Report
	answer bool
}

func newSimFleet(seed uint64, count int, setup Options, limits map[fleet.TenantName]Limit, skewed bool) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), setup: setup, limits: limits}
	for index := range count {
		node := &simNode{machine: fmt.Sprintf("m%d", index), ratePercent: 100}
		if skewed {
			node.ratePercent = 91 + f.random.Int64N(19)
		}
		node.offset = time.Duration(f.random.Int64N(int64(time.Hour)))
		f.start(node, setup.FirstStart)
		f.nodes = append(f.nodes, node)
	}
	return f
}

func (f *simFleet) start(node *simNode, first bool) {
	f.runs++
	node.id = fleet.NodeID(fmt.Sprintf("%s/%d", node.machine, f.runs))
	setup := f.setup
	setup.FirstStart = first
	node.limiter = NewLimiter(node.clock(f.now), setup)
	node.limiter.SetLimits(node.clock(f.now), f.limits)
	node.next = f.now + time.Duration(f.random.Int64N(int64(200*time.Millisecond)))
	node.rate = 0
}

// request offers a request to a node and tells whether it was admitted.
func (f *simFleet) request(node *simNode, tenant fleet.TenantName, amount float64) Decision {
	node.arrived++
	decision := node.limiter.Admit(node.clock(f.now), tenant, amount)
	if decision.Admitted {
		f.log = append(f.log, simUse{f.now, tenant, amount})
	}
	if f.decided != nil {
		f.decided(amount, decision)
	}
	return decision
}

// advance passes one step of time: reports arrive and are sent.
func (f *simFleet) advance() {
	f.now += simStep
	for _, node := range f.nodes {
		if node.down > 0 && f.now >= node.down {
			node.down = 0
			f.start(node, false)
		}
		if node.down > 0 || f.now < node.frozen {
			continue
		}
		if f.now%(200*time.Millisecond) < simStep {
			f.expect(node)
			node.rate += (float64(node.arrived)/0.2 - node.rate) * 0.3
			node.arrived = 0
			node.limiter.SetOwnRate(node.rate)
		}
		switch {
		case f.now >= node.next:
			node.next = f.now + simExchange
			f.tell(node)
		case f.now >= node.nearAt+simNear && node.limiter.IsNearLimit(node.clock(f.now)):
			node.nearAt = f.now
			f.tell(node)
		}
	}
	f.deliver()
}

// expect has a node know those that it can reach.
func (f *simFleet) expect(node *simNode) {
	for _, other := range f.nodes {
		if other != node && other.down == 0 && other.side == node.side {
			node.limiter.AddPeer(node.clock(f.now), other.id, other.machine)
		}
	}
}

func (f *simFleet) tell(node *simNode) {
	for _, other := range f.nodes {
		if other != node {
			f.send(node, other, false)
		}
	}
}

func (f *simFleet) send(from, to *simNode, answer bool) {
	f.inFlight = append(f.inFlight, simReport{
		at: f.now + time.Duration(1+f.random.Int64N(4))*time.Millisecond, from: from, to: to, answer: answer,
		report: Report{
			Node: from.id, Machine: from.machine, Joining: from.limiter.IsJoining(from.clock(f.now)),
			RequestRate: from.rate, Usages: from.limiter.Usages(from.clock(f.now), to.id),
		},
	})
}

func (f *simFleet) deliver() {
	arriving := f.inFlight
	f.inFlight = nil
	for _, message := range arriving {
		switch {
		case message.at > f.now, f.now < message.to.frozen:
			f.inFlight = append(f.inFlight, message)
		case message.to.down > 0 || message.from.side != message.to.side || message.report.Node != message.from.id:
		default:
			message.to.limiter.Observe(message.to.clock(f.now), message.report)
			if !message.answer {
				f.send(message.to, message.from, true)
			}
		}
	}
}

// kill ends a node for a time.
func (f *simFleet) kill(node *simNode, down time.Duration) { node.down = f.now + down }

// excess returns by how much the use of a tenant in the worst window exceeds a limit
// with its tolerance; negative if it never does.
func (f *simFleet) excess(tenant fleet.TenantName, limit Limit, from time.Duration) float64 {
	allowed := (limit.Rate*f.setup.Window.Seconds()+limit.Burst)*(1+f.setup.Overshoot) + f.setup.Slack
	worst, sum, start := -allowed, 0.0, 0
	uses := slices.DeleteFunc(slices.Clone(f.log), func(use simUse) bool { return use.tenant != tenant || use.at < from })
	for _, use := range uses {
		sum += use.amount
		for uses[start].at <= use.at-f.setup.Window {
			sum -= uses[start].amount
			start++
		}
		worst = max(worst, sum-allowed)
	}
	return worst
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Step and report intervals of the simulation.
const (
	simStep              = 5 * time.Millisecond
	simReportInterval    = 600 * time.Millisecond
	simNearLimitInterval = NearLimitInterval
)

// simNode is one node of a simulated fleet.
type simNode struct {
	limiter *Limiter
	id      fleet.NodeID
	machine string
	// offset and ratePercent define the node's clock.
	offset      time.Duration
	ratePercent int64
	// partition is the side of a partition that the node is on.
	partition int
	// downUntil is when a killed node restarts, 0 if it is up. frozenUntil is when a frozen node
	// resumes.
	downUntil   time.Duration
	frozenUntil time.Duration
	// rate is the node's requests per second, smoothed as in the gateway.
	rate             float64
	arrived          int
	nextReportAt     time.Duration
	lastNearReportAt time.Duration
}

func (n *simNode) clock(now time.Duration) time.Duration {
	return n.offset + now*time.Duration(n.ratePercent)/100
}

// simFleet is a fleet whose nodes report their admissions to each other.
type simFleet struct {
	random *rand.Rand
	nodes  []*simNode
	limits map[fleet.TenantName]Limit
	// options configures the nodes' limiters.
	options    Options
	runs       int
	now        time.Duration
	admissions []simAdmission
	// inFlight holds the reports that aren't delivered yet.
	inFlight []simReport
	// onDecision is called for each decision, if set.
	onDecision func(request Request, decision Decision)
}

type simAdmission struct {
	at     time.Duration
	tenant fleet.TenantName
	amount float64
}

type simReport struct {
	at     time.Duration
	from   *simNode
	to     *simNode
	report Report
	reply  bool
}

func newSimFleet(seed uint64, count int, options Options, limits map[fleet.TenantName]Limit, skewed bool) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), options: options, limits: limits}
	for index := range count {
		node := &simNode{machine: fmt.Sprintf("m%d", index), ratePercent: 100}
		if skewed {
			node.ratePercent = 91 + f.random.Int64N(19)
		}
		node.offset = time.Duration(f.random.Int64N(int64(time.Hour)))
		f.start(node, options.FirstStart)
		f.nodes = append(f.nodes, node)
	}
	return f
}

func (f *simFleet) start(node *simNode, first bool) {
	f.runs++
	node.id = fleet.NodeID(fmt.Sprintf("%s/%d", node.machine, f.runs))
	options := f.options
	options.FirstStart = first
	node.limiter = NewLimiter(node.clock(f.now), options)
	node.limiter.SetLimits(node.clock(f.now), f.limits)
	node.nextReportAt = f.now + time.Duration(f.random.Int64N(int64(200*time.Millisecond)))
	node.rate = 0
}

// request sends a request to a node and returns the node's decision.
func (f *simFleet) request(node *simNode, request Request) Decision {
	node.arrived++
	decision := node.limiter.Admit(node.clock(f.now), request)
	if decision.Admitted {
		f.admissions = append(f.admissions, simAdmission{f.now, request.Tenant, request.Amount})
	}
	if f.onDecision != nil {
		f.onDecision(request, decision)
	}
	return decision
}

// advance simulates one step, in which reports are delivered and sent.
func (f *simFleet) advance() {
	f.now += simStep
	for _, node := range f.nodes {
		if node.downUntil > 0 && f.now >= node.downUntil {
			node.downUntil = 0
			f.start(node, false)
		}
		if node.downUntil > 0 || f.now < node.frozenUntil {
			continue
		}
		if f.now%(200*time.Millisecond) < simStep {
			f.addPeers(node)
			node.rate += (float64(node.arrived)/0.2 - node.rate) * 0.3
			node.arrived = 0
			node.limiter.SetOwnRate(node.rate)
		}
		switch {
		case f.now >= node.nextReportAt:
			node.nextReportAt = f.now + simReportInterval
			f.broadcast(node)
		case f.now >= node.lastNearReportAt+simNearLimitInterval && node.limiter.IsNearLimit(node.clock(f.now)):
			node.lastNearReportAt = f.now
			f.broadcast(node)
		}
	}
	f.deliver()
}

// addPeers adds the reachable nodes as peers of a node.
func (f *simFleet) addPeers(node *simNode) {
	for _, other := range f.nodes {
		if other != node && other.downUntil == 0 && other.partition == node.partition {
			node.limiter.AddPeer(node.clock(f.now), other.id, other.machine)
		}
	}
}

func (f *simFleet) broadcast(node *simNode) {
	for _, other := range f.nodes {
		if other != node {
			f.send(node, other, false)
		}
	}
}

func (f *simFleet) send(from, to *simNode, answer bool) {
	f.inFlight = append(f.inFlight, simReport{
		at: f.now + time.Duration(1+f.random.Int64N(4))*time.Millisecond, from: from, to: to, reply: answer,
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
		case message.at > f.now, f.now < message.to.frozenUntil:
			f.inFlight = append(f.inFlight, message)
		case message.to.downUntil > 0 || message.from.partition != message.to.partition || message.report.Node != message.from.id:
		default:
			message.to.limiter.Observe(message.to.clock(f.now), message.report)
			if !message.reply {
				f.send(message.to, message.from, true)
			}
		}
	}
}

// kill takes a node down for a time, after which it restarts.
func (f *simFleet) kill(node *simNode, down time.Duration) { node.downUntil = f.now + down }

// excess returns by how much a tenant's use in the worst window since from exceeds a limit with its
// tolerance; negative if it never does.
func (f *simFleet) excess(tenant fleet.TenantName, limit Limit, from time.Duration) float64 {
	allowed := (limit.Rate*f.options.Window.Seconds()+limit.Burst)*(1+f.options.Overshoot) + f.options.Slack
	worst, sum, start := -allowed, 0.0, 0
	uses := slices.DeleteFunc(slices.Clone(f.admissions), func(use simAdmission) bool { return use.tenant != tenant || use.at < from })
	for _, use := range uses {
		sum += use.amount
		for uses[start].at <= use.at-f.options.Window {
			sum -= uses[start].amount
			start++
		}
		worst = max(worst, sum-allowed)
	}
	return worst
}

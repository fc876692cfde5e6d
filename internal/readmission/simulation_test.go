package readmission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quota"
)

// The limit of the simulated tenant, its callers' patience and what nodes do each simStep.
const (
	simTenant   fleet.TenantName = "a"
	simRate                      = 100_000.0
	simSlack                     = simRate / 4
	simStep                      = 5 * time.Millisecond
	simExchange                  = quota.NearLimitInterval
	simTimeLeft                  = 5 * time.Second
	simTries                     = 4
)

// simNode is a node of a fleet whose callers come to any of its nodes.
type simNode struct {
	id        fleet.NodeID
	limiter   *quota.Limiter
	book      *Book
	downUntil time.Duration
	// frozenUntil is when a frozen node goes on, muteUntil when the others receive its reports again.
	frozenUntil, muteUntil time.Duration
	arrived                int
	rate                   float64
	// unheard holds the last reports, which a frozen node receives late.
	unheard []func()
}

// simCaller is a request that is tried up to simTries times.
type simCaller struct {
	at, deadline time.Duration
	signature    uint64
	units        float64
	priority     int
	tries        int
	kept         bool
	// ignores is set if the caller comes again after 20 ms whatever it is told.
	ignores bool
}

type simCallers []*simCaller

func (c simCallers) Len() int           { return len(c) }
func (c simCallers) Less(i, j int) bool { return c[i].at < c[j].at }
func (c simCallers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *simCallers) Push(caller any)   { *c = append(*c, caller.(*simCaller)) }
func (c *simCallers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simResult counts requests, tries and what returned as told.
type simResult struct {
	requests, served   map[bool]int
	returned, admitted int
	// returnedBy and admittedBy count them by priority.
	returnedBy, admittedBy [PriorityCount]int
	// urgentAsked and urgentServed count the tries of the most urgent priority.
	urgentAsked, urgentServed int
	units                     float64
	// withoutTicket counts returns that were told a time without a ticket, and those admitted.
	withoutTicket, withoutTicketAdmitted int
}

func (r *simResult) keptFraction() float64 { return float64(r.admitted) / float64(max(r.returned, 1)) }

func (r *simResult) urgentFraction() float64 {
	return float64(r.urgentServed) / float64(max(r.urgentAsked, 1))
}

func (r *simResult) String() string {
	return fmt.Sprintf("%d returned by ticket, %.3f admitted; %d without, %.3f admitted; %.0f units used; served %d of %d (ignoring %d of %d)",
		r.returned, r.keptFraction(), r.withoutTicket, float64(r.withoutTicketAdmitted)/float64(max(r.withoutTicket, 1)), r.units,
		r.served[false], r.requests[false], r.served[true], r.requests[true])
}

type simFleet struct {
	random  *rand.Rand
	nodes   []*simNode
	now     time.Duration
	callers simCallers
	// nextExchange is when two nodes exchange their reports next.
	nextExchange map[[2]int]time.Duration
	result       simResult
	// ignoring is the fraction of callers that ignore the time that they are told.
	ignoring float64
	// ranked is 1 if small requests are more urgent than large ones, 0 if all are equal.
	ranked int
	// noBook leaves the tickets out.
	noBook bool
}

func newSimFleet(seed uint64, count int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), nextExchange: make(map[[2]int]time.Duration)}
	for index := range count {
		node := &simNode{id: fleet.NodeID(fmt.Sprintf("m%d/1", index)), book: NewBook()}
		node.limiter = quota.NewLimiter(0, quota.Options{Slack: simSlack, Overshoot: 0.1, Window: 8 * time.Second, FirstStart: true})
		node.limiter.SetLimits(0, map[fleet.TenantName]quota.Limit{simTenant: {Rate: simRate, Burst: simRate}})
		node.book.SetLimits(map[fleet.TenantName]float64{simTenant: simRate})
		f.nodes = append(f.nodes, node)
	}
	return f
}

// run lets newcomers come at a multiple of the limit for a time, with requests of 50, 200 and 1,000
// units.
func (f *simFleet) run(duration time.Duration, multiple float64) *simResult {
	mix := []float64{50, 50, 50, 200, 200, 1000}
	priorities := map[float64]int{50: 0, 200: 1, 1000: 2}
	perStep := multiple * simRate * simStep.Seconds() / (1550.0 / 6)
	credit := 0.0
	f.result = simResult{requests: map[bool]int{}, served: map[bool]int{}}
	for end := f.now + duration; f.now < end; f.now += simStep {
		for credit += perStep; credit >= 1; credit-- {
			units := mix[f.random.IntN(len(mix))]
			f.come(&simCaller{
				at: f.now, deadline: f.now + simTimeLeft, signature: f.random.Uint64(), units: units, priority: priorities[units] * f.ranked,
				ignores: f.random.Float64() < f.ignoring,
			})
		}
		for len(f.callers) > 0 && f.callers[0].at <= f.now {
			f.try(heap.Pop(&f.callers).(*simCaller))
		}
		f.exchange()
	}
	return &f.result
}

func (f *simFleet) come(caller *simCaller) {
	f.result.requests[caller.ignores]++
	heap.Push(&f.callers, caller)
}

// try sends a caller's request to a node that takes it.
func (f *simFleet) try(caller *simCaller) {
	node := f.nodes[f.random.IntN(len(f.nodes))]
	for f.now < node.downUntil || f.now < node.frozenUntil {
		node = f.nodes[f.random.IntN(len(f.nodes))]
	}
	returning, kept := caller.tries > 0 && !caller.ignores, caller.kept
	caller.tries++
	node.arrived++
	admitted := f.decide(node, caller)
	if caller.priority == 0 {
		f.result.urgentAsked++
		if admitted {
			f.result.urgentServed++
		}
	}
	if returning && kept {
		f.result.returned++
		f.result.returnedBy[caller.priority]++
		if admitted {
			f.result.admitted++
			f.result.admittedBy[caller.priority]++
		}
	} else if returning {
		f.result.withoutTicket++
		if admitted {
			f.result.withoutTicketAdmitted++
		}
	}
	if admitted {
		f.result.units += caller.units
		f.result.served[caller.ignores]++
	}
}

// decide decides as the gateway does, and has a refused caller come again.
func (f *simFleet) decide(node *simNode, caller *simCaller) bool {
	request := Request{Signature: caller.signature, Tenant: simTenant, Priority: caller.priority, Units: caller.units, TimeLeft: caller.deadline - f.now}
	admission := quota.Request{Tenant: simTenant, Amount: caller.units, Priority: caller.priority}
	if !f.noBook {
		admission.Returning, admission.HoldBack = node.book.Claim(f.now, request)
	}
	decision := node.limiter.Admit(f.now, admission)
	if decision.Admitted {
		node.book.Use(f.now, request)
		return true
	}
	offer := Offer{RetryAfter: decision.RetryAfter}
	if !f.noBook {
		offer = node.book.Offer(f.now, request, Capacity{
			Rate: decision.FreeRate, OwnFraction: node.limiter.OwnFraction(), FreeAfter: decision.FreeAfter, RetryAfter: decision.RetryAfter,
		})
	}
	caller.kept = offer.Kept
	wait := min(offer.RetryAfter, request.TimeLeft/3) + time.Duration(1+f.random.Int64N(20))*time.Millisecond
	if caller.ignores {
		wait = 20 * time.Millisecond
	}
	if caller.at = f.now + wait; caller.at < caller.deadline && (caller.ignores || caller.tries < simTries) {
		heap.Push(&f.callers, caller)
	}
	return false
}

// exchange has the pairs of nodes whose turn it is report to each other.
func (f *simFleet) exchange() {
	for index, node := range f.nodes {
		if f.now < node.downUntil || f.now < node.frozenUntil {
			continue
		}
		for _, deliver := range node.unheard {
			deliver()
		}
		node.unheard = nil
		if f.now%simExchange == 0 {
			node.rate += (float64(node.arrived)/simExchange.Seconds() - node.rate) * 0.3
			node.arrived = 0
			node.limiter.SetOwnRate(node.rate)
			node.book.Expire(f.now)
		}
		for other := range index {
			if pair := [2]int{other, index}; f.now >= f.nextExchange[pair] && f.now >= f.nodes[other].downUntil {
				f.nextExchange[pair] = f.now + simExchange + time.Duration(f.random.Int64N(int64(simExchange)))
				f.report(node, f.nodes[other])
				f.report(f.nodes[other], node)
			}
		}
	}
}

func (f *simFleet) report(from, to *simNode) {
	if f.now < from.frozenUntil || f.now < from.muteUntil {
		return
	}
	usage := quota.Report{
		Node: from.id, Machine: string(from.id[:len(from.id)-2]), RequestRate: from.rate, Usages: from.limiter.Usages(f.now, to.id),
	}
	tickets, used := from.book.Report(f.now, to.id)
	deliver := func() {
		to.limiter.Observe(f.now, usage)
		to.book.Observe(f.now, from.id, tickets, used)
	}
	if f.now < to.frozenUntil {
		to.unheard = append(to.unheard, deliver)
		return
	}
	deliver()
}

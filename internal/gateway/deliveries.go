package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// deliveries makes what a node knows of deliveries of services' versions, and directs of
// them, safe for concurrent use.
type deliveries struct {
	self fleet.NodeID
	// known is set once there was an order or a directive: before, requests need no lock.
	known atomic.Bool
	// pulling is set while a node is asked for a directive that it has named.
	pulling atomic.Bool

	mutex    sync.Mutex
	follower *delivery.Follower
	// director is nil while this node doesn't direct.
	director *delivery.Director
	orders   map[fleet.PoolName]heardOrder
	// finished holds the newest order of each service that is known to be over.
	finished map[fleet.PoolName]fleet.Revision
	// stored holds the versions of the records in the store, writing the services of which
	// a record is being written. Both belong to the director.
	stored  map[fleet.PoolName]fleet.Revision
	writing map[fleet.PoolName]bool

	// changes counts the changes of directives; changed is closed at the next one.
	changes uint64
	changed chan struct{}
	// source is the watched node of which seen is the number of changes.
	source fleet.NodeID
	seen   uint64

	// ordered has one element after news of an order, announced while there is something
	// to tell all nodes at once.
	ordered   chan struct{}
	announced chan struct{}
}

// heardOrder is an order and when it was written at the latest.
type heardOrder struct {
	delivery.Order
	at time.Duration
}

func newDeliveries(self fleet.NodeID, settings Settings) *deliveries {
	return &deliveries{
		self:      self,
		follower:  delivery.NewFollower(deliveryOptions(self, settings)),
		orders:    make(map[fleet.PoolName]heardOrder),
		finished:  make(map[fleet.PoolName]fleet.Revision),
		changed:   make(chan struct{}),
		ordered:   make(chan struct{}, 1),
		announced: make(chan struct{}, 1),
	}
}

func deliveryOptions(self fleet.NodeID, settings Settings) delivery.Options {
	return delivery.Options{
		Self:           self,
		ExposureShare:  settings.ExposureShare,
		ExposureSlack:  settings.ExposureSlack,
		RollbackWithin: settings.RollbackWithin,
	}
}

// signal puts an element into a channel that has room for one.
func signal(into chan struct{}) {
	select {
	case into <- struct{}{}:
	default:
	}
}

// order takes in an order that was written at a time at the latest, and tells whether it
// is news.
func (d *deliveries) order(now, at time.Duration, order delivery.Order) (bool, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if held, found := d.orders[order.Service]; found && held.Revision >= order.Revision {
		return false, nil
	}
	news, err := d.follower.SetOrder(now, order)
	if err != nil || !news {
		return false, err
	}
	d.orders[order.Service] = heardOrder{Order: order, at: at}
	d.known.Store(true)
	signal(d.ordered)
	if d.director != nil {
		return true, d.director.SetOrder(now, at, order)
	}
	return true, nil
}

// unfinished returns the services with an order that isn't known to be over.
func (d *deliveries) unfinished() []fleet.PoolName {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var services []fleet.PoolName
	for service, order := range d.orders {
		if order.Revision > d.finished[service] {
			services = append(services, service)
		}
	}
	return services
}

// undirected tells whether a delivery runs for which no directive counts: nobody directs
// it.
func (d *deliveries) undirected(now time.Duration) bool {
	if !d.known.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	directed := make(map[fleet.PoolName]fleet.Revision)
	for _, directive := range d.follower.Directives(now) {
		directed[directive.Service] = directive.Revision
	}
	for service, order := range d.orders {
		if order.Revision > d.finished[service] && order.Revision > directed[service] {
			return true
		}
	}
	return false
}

// follows tells whether a service has an order.
func (d *deliveries) follows(service fleet.PoolName) bool {
	if !d.known.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, found := d.orders[service]
	return found
}

// targets tells whether a version is the target of its service's order.
func (d *deliveries) targets(service fleet.PoolName, version fleet.SoftwareVersion) bool {
	if version == "" || !d.known.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	order, found := d.orders[service]
	return found && order.Target == version
}

// condemned tells whether a version of a service was rolled back.
func (d *deliveries) condemned(now time.Duration, service fleet.PoolName, version fleet.SoftwareVersion) bool {
	if version == "" || !d.known.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, directive := range d.follower.Directives(now) {
		if directive.Service == service && slices.Contains(directive.Rejected, version) {
			return true
		}
	}
	return false
}

// choose returns what limits the choice of a worker, nil if nothing does.
func (d *deliveries) choose(now time.Duration, service fleet.PoolName, route delivery.RouteName, draw float64, again bool) *delivery.Filter {
	if !d.known.Load() {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.follower.Filter(now, service, route, draw, again)
}

// note counts an outcome, and tells whether this node has just stopped sending to the
// target by its own evidence.
func (d *deliveries) note(now time.Duration, outcome delivery.Outcome) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stopped := d.follower.RecordOutcome(now, outcome)
	if stopped {
		signal(d.announced)
	}
	return stopped
}

// take takes a directive in, and tells whether it changed the stage or the shares.
func (d *deliveries) take(now time.Duration, directive delivery.Directive) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.known.Store(true)
	if !d.follower.ApplyDirective(now, directive) {
		return false
	}
	if directive.Stage.IsFinal() {
		d.finished[directive.Service] = max(d.finished[directive.Service], directive.Revision)
	}
	d.changes++
	close(d.changed)
	d.changed = make(chan struct{})
	if directive.Issuer == d.self {
		signal(d.announced)
	}
	return true
}

// lacks tells whether a directive that another node has named is newer than what this one
// goes by, or keeps that from lapsing.
func (d *deliveries) lacks(now time.Duration, directive *delivery.Directive) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, held := range d.follower.Directives(now) {
		if held.Service != directive.Service {
			continue
		}
		if held.Stage.IsFinal() && held.Revision >= directive.Revision {
			return false
		}
		same := held.Revision == directive.Revision && held.Sequence >= directive.Sequence
		return !same && held.Revision <= directive.Revision || now > held.IssuedAt+directiveOld
	}
	return true
}

// shifts tells whether all requests of a service go to its target now, before a verdict.
func (d *deliveries) shifts(now time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, directive := range d.follower.Directives(now) {
		planned := directive.ShiftAt > 0 && now >= directive.ShiftAt
		if directive.Stage == delivery.StageShifting || (directive.Stage == delivery.StageCanary && planned) {
			return true
		}
	}
	return false
}

// issuers returns the nodes that direct deliveries now, without this one.
func (d *deliveries) issuers(now time.Duration) []fleet.NodeID {
	if !d.known.Load() {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var nodes []fleet.NodeID
	for _, directive := range d.follower.Directives(now) {
		if !directive.Stage.IsFinal() && directive.Issuer != d.self {
			nodes = append(nodes, directive.Issuer)
		}
	}
	return nodes
}

// write adds the directives that count to a report to another node, and what this node
// has seen if that node directs.
func (d *deliveries) write(now time.Duration, report *rpc.LoadReport, to fleet.NodeID) {
	if !d.known.Load() {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	directed := make(map[fleet.PoolName]bool)
	for _, directive := range d.follower.Directives(now) {
		report.Deliveries = append(report.Deliveries, encodeDirective(now, &directive))
		directed[directive.Service] = directive.Issuer == to && !directive.Stage.IsFinal()
	}
	for _, evidence := range d.follower.Evidence(now) {
		if directed[evidence.Service] {
			report.DeliveryEvidence = append(report.DeliveryEvidence, encodeEvidence(&evidence))
		}
	}
}

// writeWatch adds the directives that count to an answer to a node that watches this one,
// and tells whether they have changed since its last call.
func (d *deliveries) writeWatch(now time.Duration, request *rpc.WatchRequest, response *rpc.WatchResponse) bool {
	if !d.known.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, directive := range d.follower.Directives(now) {
		response.Deliveries = append(response.Deliveries, encodeDirective(now, &directive))
	}
	response.DeliveriesSeen = d.changes
	seen := request.GetDeliveriesSeen()
	if request.GetPositionsOf() != string(d.self) {
		seen = 0
	}
	return d.changes > seen
}

// changedAfter returns a channel that is closed at the next change of a directive.
func (d *deliveries) changedAfter() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// seenOf returns how many changes of a watched node this one has seen.
func (d *deliveries) seenOf(source fleet.NodeID) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.source != source {
		return 0
	}
	return d.seen
}

// noteSeen notes up to which change a watched node has told.
func (d *deliveries) noteSeen(source fleet.NodeID, seen uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.source, d.seen = source, seen
}

// shares returns, by service and route, the part of the requests that is asked to go to the
// target and the part of the answers that came from there.
func (d *deliveries) shares(now time.Duration) map[fleet.PoolName]map[delivery.RouteName]deliveryShare {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	all := make(map[fleet.PoolName]map[delivery.RouteName]deliveryShare)
	asked := make(map[fleet.PoolName]delivery.Directive)
	for _, directive := range d.follower.Directives(now) {
		asked[directive.Service] = directive
	}
	for _, evidence := range d.follower.Evidence(now) {
		routes := make(map[delivery.RouteName]deliveryShare)
		for route, counts := range evidence.Old {
			share := routes[route]
			share.old = counts.Answers
			routes[route] = share
		}
		for route, workers := range evidence.New {
			share := routes[route]
			for _, counts := range workers {
				share.target += counts.Answers
			}
			routes[route] = share
		}
		directive := asked[evidence.Service]
		for route, share := range routes {
			var named bool
			if share.asked, named = directive.Shares[route]; !named {
				share.asked = directive.DefaultShare
			}
			routes[route] = share
		}
		all[evidence.Service] = routes
	}
	return all
}

// deliveryShare is what a route's target is asked to get, and what both sides had.
type deliveryShare struct {
	asked       float64
	old, target uint64
}

// had returns the part of the answers that came from the target.
func (s deliveryShare) had() float64 {
	if s.old+s.target == 0 {
		return 0
	}
	return float64(s.target) / float64(s.old+s.target)
}

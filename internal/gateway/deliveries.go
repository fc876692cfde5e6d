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

// deliveryState holds a gateway's follower and, while the gateway holds the lease, director of
// service version deliveries. It is safe for concurrent use.
type deliveryState struct {
	self fleet.NodeID
	// active is set by the first order, directive or second version. Until then requests skip the
	// mutex.
	active atomic.Bool
	// pulling is set while a request for another gateway's directives is in flight.
	pulling atomic.Bool

	mutex    sync.Mutex
	follower *delivery.Follower
	// director is nil unless this gateway directs deliveries.
	director *delivery.Director
	orders   map[fleet.PoolName]receivedOrder
	// finished holds the newest finished order of each service.
	finished map[fleet.PoolName]fleet.Revision
	// unrecorded holds the services whose record may have been lost when the store was restored, at
	// restoredAt.
	unrecorded map[fleet.PoolName]bool
	restoredAt time.Duration
	// storedVersions holds the versions of the stored records, writing the services whose record is
	// being written. Both are set together with director.
	storedVersions map[fleet.PoolName]fleet.Revision
	writing        map[fleet.PoolName]bool

	// changeCount counts the changes of directives. changed is closed at the next one.
	changeCount uint64
	changed     chan struct{}
	// watchedNode is the gateway that this one watches, watchedChanges the number of its changes
	// seen.
	watchedNode    fleet.NodeID
	watchedChanges uint64

	// orderSignal holds one element after a new order, announceSignal while there is something to
	// announce to all gateways.
	orderSignal    chan struct{}
	announceSignal chan struct{}
}

// receivedOrder is an order and the latest time at which it can have been written.
type receivedOrder struct {
	delivery.Order
	writtenBy time.Duration
}

func newDeliveryState(self fleet.NodeID, settings Settings) *deliveryState {
	return &deliveryState{
		self:           self,
		follower:       delivery.NewFollower(deliveryOptions(self, settings)),
		orders:         make(map[fleet.PoolName]receivedOrder),
		finished:       make(map[fleet.PoolName]fleet.Revision),
		unrecorded:     make(map[fleet.PoolName]bool),
		changed:        make(chan struct{}),
		orderSignal:    make(chan struct{}, 1),
		announceSignal: make(chan struct{}, 1),
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

// signal wakes the receiver of a channel with a buffer of one. It doesn't block.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// addOrder adds an order that was written at writtenBy at the latest, and reports whether it is
// new.
func (d *deliveryState) addOrder(now, writtenBy time.Duration, order delivery.Order) (bool, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	held, found := d.orders[order.Service]
	if found && held.Revision >= order.Revision {
		return false, nil
	}
	isNew, err := d.follower.SetOrder(now, order)
	if err != nil {
		return false, err
	}
	if found && held.IsContinuedBy(order) {
		return false, d.continueOrder(now, held, order)
	}
	if !isNew {
		return false, nil
	}
	d.orders[order.Service] = receivedOrder{Order: order, writtenBy: writtenBy}
	d.active.Store(true)
	signal(d.orderSignal)
	if d.director != nil {
		return true, d.director.SetOrder(now, writtenBy, order)
	}
	return true, nil
}

// continueOrder gives an order the revision at which it was written again after the store was
// restored. The mutex must be held.
func (d *deliveryState) continueOrder(now time.Duration, held receivedOrder, again delivery.Order) error {
	if d.finished[held.Service] == held.Revision {
		d.finished[held.Service] = again.Revision
	}
	held.Revision = again.Revision
	d.orders[held.Service] = held
	if d.director == nil {
		return nil
	}
	return d.director.SetOrder(now, held.writtenBy, held.Order)
}

// handleRestore makes the next director read the records again and write those that the restored
// store has lost.
func (d *deliveryState) handleRestore(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.director = nil
	d.restoredAt = now
	for service := range d.orders {
		d.unrecorded[service] = true
	}
	signal(d.orderSignal)
}

// unfinished returns the services whose newest order isn't known to be finished and recorded.
func (d *deliveryState) unfinished() []fleet.PoolName {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var services []fleet.PoolName
	for service, order := range d.orders {
		if order.Revision > d.finished[service] || d.unrecorded[service] {
			services = append(services, service)
		}
	}
	return services
}

// hasUndirected reports whether an unfinished delivery has no valid directive.
func (d *deliveryState) hasUndirected(now time.Duration) bool {
	if !d.active.Load() {
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

// hasOrder reports whether a service has an order.
func (d *deliveryState) hasOrder(service fleet.PoolName) bool {
	if !d.active.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, found := d.orders[service]
	return found
}

// isTarget reports whether a version is the target of its service's order.
func (d *deliveryState) isTarget(service fleet.PoolName, version fleet.SoftwareVersion) bool {
	if version == "" || !d.active.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	order, found := d.orders[service]
	return found && order.Target == version
}

// isRolledBack reports whether a version of a service was rolled back.
func (d *deliveryState) isRolledBack(now time.Duration, service fleet.PoolName, version fleet.SoftwareVersion) bool {
	if version == "" || !d.active.Load() {
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

// versionFilter returns the restriction on the choice of a worker, nil if there is none.
// avoidTarget excludes the target for a request that was sent to it before.
func (d *deliveryState) versionFilter(now time.Duration, service fleet.PoolName, route delivery.RouteName, draw float64, avoidTarget bool) *delivery.Filter {
	if !d.active.Load() {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.follower.Filter(now, service, route, draw, avoidTarget)
}

// recordOutcome counts an outcome, and reports whether this gateway has just stopped sending to the
// target by its own evidence.
func (d *deliveryState) recordOutcome(now time.Duration, outcome delivery.Outcome) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stopped := d.follower.RecordOutcome(now, outcome)
	if stopped {
		signal(d.announceSignal)
	}
	return stopped
}

// applyDirective applies a directive, and reports whether it changed the stage or the shares.
func (d *deliveryState) applyDirective(now time.Duration, directive delivery.Directive) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.active.Store(true)
	changed := d.follower.ApplyDirective(now, directive)
	if directive.Stage.IsFinal() && directive.IssuedAt >= d.restoredAt {
		// A director issues it once its record is stored.
		delete(d.unrecorded, directive.Service)
	}
	if !changed {
		return false
	}
	if directive.Stage.IsFinal() {
		d.finished[directive.Service] = max(d.finished[directive.Service], directive.Revision)
	}
	d.changeCount++
	close(d.changed)
	d.changed = make(chan struct{})
	if directive.Issuer == d.self {
		signal(d.announceSignal)
	}
	return true
}

// needsDirective reports whether a directive that another gateway holds is newer than the one held
// here, or whether the one held here is about to expire.
func (d *deliveryState) needsDirective(now time.Duration, directive *delivery.Directive) bool {
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
		return !same && held.Revision <= directive.Revision || now > held.IssuedAt+directiveRefreshAge
	}
	return true
}

// isShifting reports whether all requests of some service go to its target while the delivery isn't
// finished.
func (d *deliveryState) isShifting(now time.Duration) bool {
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

// issuers returns the other gateways that currently direct deliveries.
func (d *deliveryState) issuers(now time.Duration) []fleet.NodeID {
	if !d.active.Load() {
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

// writeReport adds the valid directives to a report to another gateway, and the evidence of this
// gateway for the deliveries that the receiver directs.
func (d *deliveryState) writeReport(now time.Duration, report *rpc.LoadReport, to fleet.NodeID) {
	if !d.active.Load() {
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

// writeWatchResponse adds the valid directives to the response to a watching gateway, and reports
// whether they have changed since its last call.
func (d *deliveryState) writeWatchResponse(now time.Duration, request *rpc.WatchRequest, response *rpc.WatchResponse) bool {
	if !d.active.Load() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, directive := range d.follower.Directives(now) {
		response.Deliveries = append(response.Deliveries, encodeDirective(now, &directive))
	}
	response.DeliveriesSeen = d.changeCount
	seen := request.GetDeliveriesSeen()
	if request.GetPositionsOf() != string(d.self) {
		seen = 0
	}
	return d.changeCount > seen
}

// nextChange returns a channel that is closed at the next change of a directive.
func (d *deliveryState) nextChange() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// seenChanges returns how many changes of a watched gateway have been seen.
func (d *deliveryState) seenChanges(source fleet.NodeID) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.watchedNode != source {
		return 0
	}
	return d.watchedChanges
}

// setSeenChanges records how many changes of a watched gateway have been seen.
func (d *deliveryState) setSeenChanges(source fleet.NodeID, seen uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.watchedNode, d.watchedChanges = source, seen
}

// shares returns, by service and route, the share of requests that the directive assigns to the
// target and the responses of both versions.
func (d *deliveryState) shares(now time.Duration) map[fleet.PoolName]map[delivery.RouteName]deliveryShare {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	all := make(map[fleet.PoolName]map[delivery.RouteName]deliveryShare)
	directives := make(map[fleet.PoolName]delivery.Directive)
	for _, directive := range d.follower.Directives(now) {
		directives[directive.Service] = directive
	}
	for _, evidence := range d.follower.Evidence(now) {
		routes := make(map[delivery.RouteName]deliveryShare)
		for route, counts := range evidence.Old {
			share := routes[route]
			share.oldResponses = counts.Responses
			routes[route] = share
		}
		for route, workers := range evidence.New {
			share := routes[route]
			for _, counts := range workers {
				share.targetResponses += counts.Responses
			}
			routes[route] = share
		}
		directive := directives[evidence.Service]
		for route, share := range routes {
			var named bool
			if share.requested, named = directive.Shares[route]; !named {
				share.requested = directive.DefaultShare
			}
			routes[route] = share
		}
		all[evidence.Service] = routes
	}
	return all
}

// deliveryShare is the requested share of a route's target and the responses of both versions.
type deliveryShare struct {
	requested                     float64
	oldResponses, targetResponses uint64
}

// actual returns the share of the responses that came from the target.
func (s deliveryShare) actual() float64 {
	if s.oldResponses+s.targetResponses == 0 {
		return 0
	}
	return float64(s.targetResponses) / float64(s.oldResponses+s.targetResponses)
}

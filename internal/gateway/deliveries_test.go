package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

// deliveryGateway returns a gateway that isn't started and has received an order.
func deliveryGateway(t *testing.T) *Gateway {
	g := newTestGateway(t)
	g.applyOrders(g.now(), g.now(), &OperatorRows{Deliveries: []delivery.Order{
		{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7},
	}})
	require.Equal(t, []fleet.PoolName{"app"}, g.deliveries.unfinished())
	return g
}

// directiveToTarget returns a directive that sends all requests to the target.
func directiveToTarget(g *Gateway, stage delivery.Stage, issuedAt time.Duration) delivery.Directive {
	directive := testDirective(issuedAt)
	directive.Stage, directive.Canaries, directive.Shares, directive.DefaultShare = stage, nil, nil, 1
	return directive
}

// deliveryRequest returns a request that goes to the target at any share above 0.
func deliveryRequest() *callerRequest {
	return &callerRequest{service: &routes.Service{Name: "app"}, route: &routes.Route{Name: "route"}, targetDraw: 0}
}

// A pushed directive of unknown age must be pulled before it applies. A final one applies at any
// age.
func TestPushedDirectiveIsPulledBeforeItApplies(t *testing.T) {
	g := deliveryGateway(t)
	pushed := directiveToTarget(g, delivery.StageShifting, g.now())
	report := &rpc.LoadReport{Node: "director", DeliveriesOnly: true, Deliveries: []*rpc.DeliveryDirective{encodeDirective(g.now(), &pushed)}}
	g.handlePushedDeliveries(report)
	assert.False(t, g.allowedVersions(deliveryRequest(), false).PrefersTarget())

	g.applyDirectives(g.now(), report.Deliveries)
	assert.True(t, g.allowedVersions(deliveryRequest(), false).PrefersTarget(), "response to this gateway's own call")

	final := directiveToTarget(g, delivery.StageRolledBack, g.now())
	final.Sequence++
	final.Rejected = append(final.Rejected, "v2")
	report.Deliveries = []*rpc.DeliveryDirective{encodeDirective(g.now()+time.Hour, &final)}
	g.handlePushedDeliveries(report)
	filter := g.allowedVersions(deliveryRequest(), false)
	assert.False(t, filter.PrefersTarget())
	assert.False(t, filter.Allows("w", "v2"))
	assert.Empty(t, g.deliveries.unfinished(), "no work left")
}

// A directive must count as at least as old as the call that delivered it.
func TestDirectiveAgeIncludesTheCall(t *testing.T) {
	g := deliveryGateway(t)
	directive := directiveToTarget(g, delivery.StageShifting, g.now())
	encoded := []*rpc.DeliveryDirective{encodeDirective(g.now(), &directive)}
	g.applyDirectives(g.now()-delivery.DirectiveLifetime, encoded)
	assert.False(t, g.allowedVersions(deliveryRequest(), false).PrefersTarget())
}

// A request must not reach the target after its directive has expired.
func TestSendToTargetRequiresValidDirective(t *testing.T) {
	g := deliveryGateway(t)
	const remaining = 300 * time.Millisecond
	g.applyDirective(directiveToTarget(g, delivery.StageShifting, g.now()-delivery.DirectiveLifetime+remaining))
	target := &backends.Worker{ID: "w", Service: "app", Software: "v2"}
	current := deliveryRequest()
	current.placedForTarget = g.allowedVersions(current, false).PrefersTarget()
	require.True(t, current.placedForTarget)
	assert.NoError(t, g.checkTarget(current, target))
	time.Sleep(remaining + 50*time.Millisecond)
	assert.ErrorIs(t, g.checkTarget(current, target), errTargetNotAllowed)
	assert.NoError(t, g.checkTarget(current, &backends.Worker{ID: "o", Service: "app", Software: "v1"}), "fallback worker")
	current.placedForTarget = false
	assert.NoError(t, g.checkTarget(current, target), "request without assignment")
}

// A retry after the target must go to a worker of another version.
func TestRetryAvoidsTheTarget(t *testing.T) {
	g := deliveryGateway(t)
	canary := directiveToTarget(g, delivery.StageCanary, g.now())
	g.applyDirective(canary)
	assert.True(t, g.allowedVersions(deliveryRequest(), false).PrefersTarget())
	assert.False(t, g.allowedVersions(deliveryRequest(), true).PrefersTarget())
}

func TestReportsSendDirectivesToAllAndEvidenceToTheDirector(t *testing.T) {
	g := deliveryGateway(t)
	g.applyDirective(directiveToTarget(g, delivery.StageCanary, g.now()))
	g.deliveries.recordOutcome(g.now(), delivery.Outcome{Service: "app", Route: "route", Worker: "w", Version: "v2", TimeToFirstByte: time.Millisecond})
	other := g.loadReport("other")
	assert.Len(t, other.GetDeliveries(), 1)
	assert.Empty(t, other.GetDeliveryEvidence())
	director := g.deliveryReport("director")
	assert.Len(t, director.GetDeliveries(), 1)
	require.Len(t, director.GetDeliveryEvidence(), 1)
	require.NotEmpty(t, director.GetDeliveryEvidence()[0].GetCounts())
	assert.Equal(t, []fleet.NodeID{"director"}, g.deliveries.issuers(g.now()))
}

// A changed directive must wake a waiting watch call, an unchanged one must not.
func TestChangedDirectiveWakesWatcher(t *testing.T) {
	g := deliveryGateway(t)
	request := &rpc.WatchRequest{Node: "watcher", PositionsOf: string(g.node)}
	response, changed := g.buildWatchResponse(request)
	assert.False(t, changed)
	assert.Empty(t, response.GetDeliveries())
	waiting := g.deliveries.nextChange()
	g.applyDirective(directiveToTarget(g, delivery.StageCanary, g.now()))
	select {
	case <-waiting:
	default:
		t.Error("waiting call not woken")
	}
	response, changed = g.buildWatchResponse(request)
	assert.True(t, changed)
	assert.Len(t, response.GetDeliveries(), 1)
	request.DeliveriesSeen = response.GetDeliveriesSeen()
	response, changed = g.buildWatchResponse(request)
	assert.False(t, changed)
	assert.Len(t, response.GetDeliveries(), 1, "age refreshed")
	request.PositionsOf = "another run"
	_, changed = g.buildWatchResponse(request)
	assert.True(t, changed)
}

// deliveryStore is a store with delivery records alone.
type deliveryStore struct {
	Store
	stored *StoredDeliveries
	failed error
	writes []delivery.Record
}

func (s *deliveryStore) ReadDeliveries(context.Context) (*StoredDeliveries, error) {
	return s.stored, s.failed
}

func (s *deliveryStore) WriteDelivery(_ context.Context, record delivery.Record, expected fleet.Revision) (StoredDelivery, error) {
	s.writes = append(s.writes, record)
	for _, held := range s.stored.Records {
		if held.Order.Service == record.Order.Service && held.Version != expected {
			return held, platform.ErrConflict
		}
	}
	return StoredDelivery{Record: record, Version: expected + 1}, s.failed
}

// A new director must keep a final verdict and write nothing.
func TestNewDirectorKeepsFinalRecord(t *testing.T) {
	g := deliveryGateway(t)
	final := StoredDelivery{Version: 20, Record: delivery.Record{
		Order: delivery.Order{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7},
		Stage: delivery.StageRolledBack, Rejected: []fleet.SoftwareVersion{"v2"}, StartedAt: time.Minute,
	}}
	store := &deliveryStore{stored: &StoredDeliveries{Records: []StoredDelivery{final}, StoreTime: 2 * time.Minute}}
	g.dependencies.Store = store
	g.deliveries.becomeDirector(g.now(), deliveryOptions(g.node, *g.settings()), store.stored, g.now()-store.stored.StoreTime)
	g.stepDelivery("app")
	filter := g.allowedVersions(deliveryRequest(), false)
	assert.False(t, filter.Allows("w", "v2"))
	assert.Empty(t, g.deliveries.unfinished())
	assert.Empty(t, store.writes)
}

// A director whose write conflicts must adopt the stored final record.
func TestWriteConflictAdoptsStoredRecord(t *testing.T) {
	g := deliveryGateway(t)
	order := delivery.Order{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7}
	running := StoredDelivery{Version: 20, Record: delivery.Record{Order: order, Stage: delivery.StageCanary, StartedAt: time.Minute}}
	stored := &StoredDeliveries{Records: []StoredDelivery{running}, StoreTime: time.Minute}
	g.deliveries.becomeDirector(g.now(), deliveryOptions(g.node, *g.settings()), stored, g.now()-stored.StoreTime)
	final := running
	final.Version, final.Stage, final.Rejected = 21, delivery.StageRolledBack, []fleet.SoftwareVersion{"v2"}
	store := &deliveryStore{stored: &StoredDeliveries{Records: []StoredDelivery{final}}}
	g.dependencies.Store = store
	g.deliveries.beginWrite("app")
	g.writeDelivery(delivery.Record{Order: order, Stage: delivery.StageCompleted, StartedAt: time.Minute})
	assert.EqualValues(t, 21, g.deliveries.storedVersion("app"))
	g.stepDelivery("app")
	assert.False(t, g.allowedVersions(deliveryRequest(), false).Allows("w", "v2"))
	assert.Empty(t, g.deliveries.unfinished())
}

// Two writes of one service's record must not overlap, and a failed write must not block the next.
func TestDeliveryWritesAreSerialized(t *testing.T) {
	g := deliveryGateway(t)
	g.deliveries.becomeDirector(g.now(), deliveryOptions(g.node, *g.settings()), &StoredDeliveries{}, 0)
	assert.True(t, g.deliveries.beginWrite("app"))
	assert.False(t, g.deliveries.beginWrite("app"))
	record := delivery.Record{Order: delivery.Order{Service: "app", Target: "v2", Duration: time.Second, Revision: 7}, Stage: delivery.StageCanary}
	g.deliveries.finishWrite(g.now(), record, StoredDelivery{}, errors.New("lost"))
	assert.True(t, g.deliveries.beginWrite("app"))
	g.deliveries.resign()
	assert.False(t, g.deliveries.beginWrite("app"))
}

func TestInvalidOrderIsIgnored(t *testing.T) {
	g := deliveryGateway(t)
	g.applyOrders(g.now(), g.now(), &OperatorRows{
		Deliveries:        []delivery.Order{{Service: "app", Target: "", Duration: time.Second, Revision: 9}, {Service: "app", Target: "v0", Duration: time.Second, Revision: 6}},
		RefusedDeliveries: []InvalidInput{{Source: "op", Key: "rollout/app", Err: errors.New("invalid order")}},
	})
	assert.True(t, g.deliveries.isTarget("app", "v2"))
	assert.False(t, g.deliveries.isTarget("app", "v0"))
}

// Refused, unsent and cancelled requests must not count for or against a version.
func TestInconclusiveOutcomesAreNotCounted(t *testing.T) {
	g := deliveryGateway(t)
	g.applyDirective(directiveToTarget(g, delivery.StageCanary, g.now()))
	g.workers.Observe(1, backends.Worker{ID: "w", Service: "app", Software: "v2", Slots: 4})
	counted := 0
	for outcome, conclusive := range map[backends.Outcome]bool{
		backends.Succeeded: true, backends.Failed: true, backends.Lost: true,
		backends.Refused: false, backends.Mismatched: false, backends.Unreachable: false, backends.Cancelled: false,
		backends.Deferred: false,
	} {
		placement, _ := g.workers.Choose(g.now(), &backends.Request{Service: "app"})
		require.NotNil(t, placement)
		current := deliveryRequest()
		g.recordDeliveryOutcome(current, placement, outcome)
		placement.End(g.now(), outcome)
		assert.True(t, current.sentToTarget)
		if conclusive {
			counted++
		}
	}
	shares := g.deliveries.shares(g.now())
	assert.EqualValues(t, counted, shares["app"]["route"].targetResponses)
	assert.InDelta(t, 1, shares["app"]["route"].actual(), 0)
	assert.InDelta(t, 1, shares["app"]["route"].requested, 0)
}

// A shift must start at the planned time, whether or not the next directive has arrived.
func TestShiftStartsAtItsPlannedTime(t *testing.T) {
	g := newTestGateway(t)
	assert.False(t, g.deliveries.isShifting(0))
	order := delivery.Order{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7}
	_, err := g.deliveries.addOrder(0, 0, order)
	require.NoError(t, err)
	directive := delivery.Directive{
		Service: "app", Target: "v2", Revision: 7, Sequence: 1, Stage: delivery.StageCanary,
		IssuedAt: time.Second, ShiftAt: 2 * time.Second,
	}
	g.deliveries.applyDirective(time.Second, directive)
	assert.False(t, g.deliveries.isShifting(time.Second))
	assert.True(t, g.deliveries.isShifting(2*time.Second), "planned shift")
	directive.Stage, directive.Sequence, directive.IssuedAt = delivery.StageShifting, 2, 2*time.Second
	g.deliveries.applyDirective(2*time.Second, directive)
	assert.True(t, g.deliveries.isShifting(2500*time.Millisecond))
	directive.Stage, directive.Sequence = delivery.StageCompleted, 3
	g.deliveries.applyDirective(3*time.Second, directive)
	assert.False(t, g.deliveries.isShifting(3*time.Second), "completed")
}

// TestDeliveryLetsStreamsGoOnAtTheirVersion guards against streams of the target or of the old version
// that are refused by the share drawn for new requests, and against ones that reach a rolled-back target.
func TestDeliveryLetsStreamsGoOnAtTheirVersion(t *testing.T) {
	g := deliveryGateway(t)
	directive := testDirective(g.now())
	directive.Stage = delivery.StageCanary
	g.applyDirective(directive)
	request := deliveryRequest()
	request.targetDraw = 1
	request.origin = streamorigin.Only("v2")
	assert.True(t, g.allowedVersions(request, true).PrefersTarget())
	request.targetDraw = 0
	request.origin = streamorigin.Only("v1")
	assert.True(t, g.allowedVersions(request, false).Allows("w", "v1"))

	directive.Sequence++
	directive.Stage, directive.Rejected = delivery.StageRolledBack, append(directive.Rejected, "v2")
	g.applyDirective(directive)
	request.origin = streamorigin.Only("v2")
	for filter := g.allowedVersions(request, false); filter != nil; filter = filter.Fallback() {
		assert.False(t, filter.Allows("w", "v2"))
	}
}

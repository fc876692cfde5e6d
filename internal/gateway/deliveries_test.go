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
)

// deliveryGateway returns a gateway that isn't started and has heard of an order.
func deliveryGateway(t *testing.T) *Gateway {
	g := idleGateway(t)
	g.takeOrders(g.now(), g.now(), &OperatorRows{Deliveries: []delivery.Order{
		{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7},
	}})
	require.Equal(t, []fleet.PoolName{"app"}, g.deliveries.unfinished())
	return g
}

// allTo returns a directive that sends everything to the target.
func allTo(g *Gateway, stage delivery.Stage, issuedAt time.Duration) delivery.Directive {
	directive := testDirective(issuedAt)
	directive.Stage, directive.Canaries, directive.Shares, directive.DefaultShare = stage, nil, nil, 1
	return directive
}

// deliveryRequest returns a request that would go to the target at any share.
func deliveryRequest() *carried {
	return &carried{service: &routes.Service{Name: "app"}, route: &routes.Route{Name: "route"}, draw: 0}
}

// TestPushedDirectiveIsAskedForRatherThanBelieved since a call may have lain here while the
// process stood still; a final one counts whatever its age.
func TestPushedDirectiveIsAskedForRatherThanBelieved(t *testing.T) {
	g := deliveryGateway(t)
	pushed := allTo(g, delivery.StageShifting, g.now())
	report := &rpc.LoadReport{Node: "director", DeliveriesOnly: true, Deliveries: []*rpc.DeliveryDirective{encodeDirective(g.now(), &pushed)}}
	g.heedPushed(report)
	assert.False(t, g.versions(deliveryRequest(), false).PrefersTarget())

	g.takeDirectives(g.now(), report.Deliveries)
	assert.True(t, g.versions(deliveryRequest(), false).PrefersTarget(), "the answer to an own call counts")

	final := allTo(g, delivery.StageRolledBack, g.now())
	final.Sequence++
	final.Rejected = append(final.Rejected, "v2")
	report.Deliveries = []*rpc.DeliveryDirective{encodeDirective(g.now()+time.Hour, &final)}
	g.heedPushed(report)
	choice := g.versions(deliveryRequest(), false)
	assert.False(t, choice.PrefersTarget())
	assert.False(t, choice.Allows("w", "v2"))
	assert.Empty(t, g.deliveries.unfinished(), "nothing is left to do")
}

// TestDirectiveIsAsOldAsTheCallThatBroughtIt however young it was when it was told.
func TestDirectiveIsAsOldAsTheCallThatBroughtIt(t *testing.T) {
	g := deliveryGateway(t)
	directive := allTo(g, delivery.StageShifting, g.now())
	told := []*rpc.DeliveryDirective{encodeDirective(g.now(), &directive)}
	g.takeDirectives(g.now()-delivery.DirectiveLifetime, told)
	assert.False(t, g.versions(deliveryRequest(), false).PrefersTarget())
}

// TestSendIsPermittedOnlyWhileItsDirectiveCounts.
func TestSendIsPermittedOnlyWhileItsDirectiveCounts(t *testing.T) {
	g := deliveryGateway(t)
	const left = 300 * time.Millisecond
	g.takeDirective(allTo(g, delivery.StageShifting, g.now()-delivery.DirectiveLifetime+left))
	target := &backends.Worker{ID: "w", Service: "app", Software: "v2"}
	current := deliveryRequest()
	current.forTarget = g.versions(current, false).PrefersTarget()
	require.True(t, current.forTarget)
	assert.NoError(t, g.permitTarget(current, target))
	time.Sleep(left + 50*time.Millisecond)
	assert.ErrorIs(t, g.permitTarget(current, target), errNoTarget)
	assert.NoError(t, g.permitTarget(current, &backends.Worker{ID: "o", Service: "app", Software: "v1"}), "found as the fallback")
	current.forTarget = false
	assert.NoError(t, g.permitTarget(current, target), "only workers of the target are listed")
}

// TestSecondTryLeavesTheTarget for the other side.
func TestSecondTryLeavesTheTarget(t *testing.T) {
	g := deliveryGateway(t)
	canary := allTo(g, delivery.StageCanary, g.now())
	g.takeDirective(canary)
	assert.True(t, g.versions(deliveryRequest(), false).PrefersTarget())
	assert.False(t, g.versions(deliveryRequest(), true).PrefersTarget())
}

// TestReportsCarryDirectivesToAllAndEvidenceToTheDirector.
func TestReportsCarryDirectivesToAllAndEvidenceToTheDirector(t *testing.T) {
	g := deliveryGateway(t)
	g.takeDirective(allTo(g, delivery.StageCanary, g.now()))
	g.deliveries.note(g.now(), delivery.Outcome{Service: "app", Route: "route", Worker: "w", Version: "v2", TimeToFirstByte: time.Millisecond})
	other := g.loadReport("other")
	assert.Len(t, other.GetDeliveries(), 1)
	assert.Empty(t, other.GetDeliveryEvidence())
	director := g.deliveryReport("director")
	assert.Len(t, director.GetDeliveries(), 1)
	require.Len(t, director.GetDeliveryEvidence(), 1)
	require.NotEmpty(t, director.GetDeliveryEvidence()[0].GetCounts())
	assert.Equal(t, []fleet.NodeID{"director"}, g.deliveries.issuers(g.now()))
}

// TestWatcherIsToldOfAChangedDirectiveAtOnce and of the same one not again.
func TestWatcherIsToldOfAChangedDirectiveAtOnce(t *testing.T) {
	g := deliveryGateway(t)
	request := &rpc.WatchRequest{Node: "watcher", PositionsOf: string(g.node)}
	response, news := g.watchResponse(request)
	assert.False(t, news)
	assert.Empty(t, response.GetDeliveries())
	waiting := g.deliveries.changedAfter()
	g.takeDirective(allTo(g, delivery.StageCanary, g.now()))
	select {
	case <-waiting:
	default:
		t.Error("a waiting call isn't woken")
	}
	response, news = g.watchResponse(request)
	assert.True(t, news)
	assert.Len(t, response.GetDeliveries(), 1)
	request.DeliveriesSeen = response.GetDeliveriesSeen()
	response, news = g.watchResponse(request)
	assert.False(t, news)
	assert.Len(t, response.GetDeliveries(), 1, "its age is renewed")
	request.PositionsOf = "another run"
	_, news = g.watchResponse(request)
	assert.True(t, news)
}

// deliveryStore is the store's part about deliveries.
type deliveryStore struct {
	Platform
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

// TestNewDirectorHoldsToAFinalRecord and decides nothing anew.
func TestNewDirectorHoldsToAFinalRecord(t *testing.T) {
	g := deliveryGateway(t)
	final := StoredDelivery{Version: 20, Record: delivery.Record{
		Order: delivery.Order{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7},
		Stage: delivery.StageRolledBack, Rejected: []fleet.SoftwareVersion{"v2"}, StartedAt: time.Minute,
	}}
	store := &deliveryStore{stored: &StoredDeliveries{Records: []StoredDelivery{final}, StoreTime: 2 * time.Minute}}
	g.outside.Platform = store
	g.deliveries.lead(g.now(), deliveryOptions(g.node, *g.settings()), store.stored, g.now()-store.stored.StoreTime)
	g.direct("app")
	choice := g.versions(deliveryRequest(), false)
	assert.False(t, choice.Allows("w", "v2"))
	assert.Empty(t, g.deliveries.unfinished())
	assert.Empty(t, store.writes)
}

// TestLateDirectorTakesOverWhatTheStoreHolds when its own verdict comes too late.
func TestLateDirectorTakesOverWhatTheStoreHolds(t *testing.T) {
	g := deliveryGateway(t)
	order := delivery.Order{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7}
	running := StoredDelivery{Version: 20, Record: delivery.Record{Order: order, Stage: delivery.StageCanary, StartedAt: time.Minute}}
	stored := &StoredDeliveries{Records: []StoredDelivery{running}, StoreTime: time.Minute}
	g.deliveries.lead(g.now(), deliveryOptions(g.node, *g.settings()), stored, g.now()-stored.StoreTime)
	final := running
	final.Version, final.Stage, final.Rejected = 21, delivery.StageRolledBack, []fleet.SoftwareVersion{"v2"}
	store := &deliveryStore{stored: &StoredDeliveries{Records: []StoredDelivery{final}}}
	g.outside.Platform = store
	g.deliveries.beginWrite("app")
	g.writeDelivery(delivery.Record{Order: order, Stage: delivery.StageCompleted, StartedAt: time.Minute})
	assert.EqualValues(t, 21, g.deliveries.storedVersion("app"))
	g.direct("app")
	assert.False(t, g.versions(deliveryRequest(), false).Allows("w", "v2"))
	assert.Empty(t, g.deliveries.unfinished())
}

// TestOneWriteAtATime of a service's record, and again after one that failed.
func TestOneWriteAtATime(t *testing.T) {
	g := deliveryGateway(t)
	g.deliveries.lead(g.now(), deliveryOptions(g.node, *g.settings()), &StoredDeliveries{}, 0)
	assert.True(t, g.deliveries.beginWrite("app"))
	assert.False(t, g.deliveries.beginWrite("app"))
	record := delivery.Record{Order: delivery.Order{Service: "app", Target: "v2", Duration: time.Second, Revision: 7}, Stage: delivery.StageCanary}
	g.deliveries.written(g.now(), record, StoredDelivery{}, errors.New("lost"))
	assert.True(t, g.deliveries.beginWrite("app"))
	g.deliveries.resign()
	assert.False(t, g.deliveries.beginWrite("app"))
}

// TestUnusableOrderChangesNothing.
func TestUnusableOrderChangesNothing(t *testing.T) {
	g := deliveryGateway(t)
	g.takeOrders(g.now(), g.now(), &OperatorRows{
		Deliveries:        []delivery.Order{{Service: "app", Target: "", Duration: time.Second, Revision: 9}, {Service: "app", Target: "v0", Duration: time.Second, Revision: 6}},
		RefusedDeliveries: []Unreadable{{Source: "op", Key: "rollout/app", Err: errors.New("odd")}},
	})
	assert.True(t, g.deliveries.targets("app", "v2"))
	assert.False(t, g.deliveries.targets("app", "v0"))
}

// TestOutcomesThatSayNothingAreNotCounted.
func TestOutcomesThatSayNothingAreNotCounted(t *testing.T) {
	g := deliveryGateway(t)
	g.takeDirective(allTo(g, delivery.StageCanary, g.now()))
	g.workers.Observe(1, backends.Worker{ID: "w", Service: "app", Software: "v2", Slots: 4})
	counted := 0
	for outcome, says := range map[backends.Outcome]bool{
		backends.Succeeded: true, backends.Failed: true, backends.Lost: true,
		backends.Refused: false, backends.Mismatched: false, backends.Unreachable: false, backends.Cancelled: false,
		backends.Deferred: false,
	} {
		placement, _ := g.workers.Choose(g.now(), &backends.Request{Service: "app"})
		require.NotNil(t, placement)
		current := deliveryRequest()
		g.noteDelivery(current, placement, outcome)
		placement.End(g.now(), outcome)
		assert.True(t, current.wasAtTarget)
		if says {
			counted++
		}
	}
	shares := g.deliveries.shares(g.now())
	assert.EqualValues(t, counted, shares["app"]["route"].target)
	assert.InDelta(t, 1, shares["app"]["route"].had(), 0)
	assert.InDelta(t, 1, shares["app"]["route"].asked, 0)
}

// TestShiftIsKnownFromItsMoment has a shift be told in advance, begin, and end.
func TestShiftIsKnownFromItsMoment(t *testing.T) {
	g := idleGateway(t)
	assert.False(t, g.deliveries.shifts(0))
	order := delivery.Order{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7}
	_, err := g.deliveries.order(0, 0, order)
	require.NoError(t, err)
	directive := delivery.Directive{
		Service: "app", Target: "v2", Revision: 7, Sequence: 1, Stage: delivery.StageCanary,
		IssuedAt: time.Second, ShiftAt: 2 * time.Second,
	}
	g.deliveries.take(time.Second, directive)
	assert.False(t, g.deliveries.shifts(time.Second))
	assert.True(t, g.deliveries.shifts(2*time.Second), "as told in advance")
	directive.Stage, directive.Sequence, directive.IssuedAt = delivery.StageShifting, 2, 2*time.Second
	g.deliveries.take(2*time.Second, directive)
	assert.True(t, g.deliveries.shifts(2500*time.Millisecond))
	directive.Stage, directive.Sequence = delivery.StageCompleted, 3
	g.deliveries.take(3*time.Second, directive)
	assert.False(t, g.deliveries.shifts(3*time.Second), "it is over")
}

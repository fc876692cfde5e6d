package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// placeTimeoutMargin is added to a class's longest wait before a router that holds a
// question counts as failed.
const placeTimeoutMargin = 5 * time.Second

var errMismatchedAnswer = errors.New("answer to another question")

// place asks one router for an engine and returns its answer as an event.
func (c *requestRunner) place(ctx context.Context, ask attempt.RequestPlacement) attempt.Event {
	at := c.chooseRouter(ask)
	c.placedBy[ask.Attempt] = at
	routerLife := c.agent.routers.beginWait(at)
	defer c.agent.routers.endWait(at)
	ctx, cancel := context.WithTimeout(ctx, c.request.maxWait+placeTimeoutMargin)
	defer cancel()
	defer context.AfterFunc(routerLife, cancel)()
	answer, err := at.client.Place(ctx, c.placeRequest(ask))
	if err == nil && (answer.GetRequestId() != string(c.request.id) || answer.GetAttempt() != uint32(ask.Attempt)) {
		err = errMismatchedAnswer
	}
	if err != nil {
		c.handlePlacementFailure(ctx, at, err)
		return attempt.PlacementFailed{Operation: ask.Operation}
	}
	c.agent.handleAnswerHeader(at, answer.GetHeader())
	return c.placementEvent(ask, at, answer)
}

// chooseRouter returns the router to ask and counts the try.
func (c *requestRunner) chooseRouter(ask attempt.RequestPlacement) *routerState {
	if c.route == nil {
		by := c.agent.routers.newRoute(c.request)
		c.route = &by
	}
	at := c.agent.routers.choose(*c.route, ask.Preferred, c.tried)
	c.tried[at.address]++
	return at
}

// handlePlacementFailure blames the router, unless the question was withdrawn or
// the router has been blamed already.
func (c *requestRunner) handlePlacementFailure(ctx context.Context, at *routerState, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.agent.handleRouterFailure(at, "place", err)
}

func (c *requestRunner) placeRequest(ask attempt.RequestPlacement) *rpc.PlaceRequest {
	excluded := make([]*rpc.EngineRun, 0, len(ask.Excluded))
	for _, run := range ask.Excluded {
		excluded = append(excluded, encodeRun(run))
	}
	hashes := make([]uint64, 0, len(c.request.hashes))
	for _, hash := range c.request.hashes {
		hashes = append(hashes, uint64(hash))
	}
	weights := c.request.weights
	return &rpc.PlaceRequest{
		Header:    c.agent.header(),
		RequestId: string(c.request.id),
		Attempt:   uint32(ask.Attempt),
		Tenant:    string(c.request.tenant.Name),
		Weights: &rpc.Weights{
			Model:   string(weights.Model),
			Adapter: string(weights.Adapter),
			Version: string(weights.Version),
		},
		Class:              string(c.request.class),
		PromptTokens:       uint32(c.request.promptTokens),
		MaxTokens:          uint32(c.request.maxTokens),
		BlockHashes:        hashes,
		DeadlineMillis:     uint32(max(c.request.deadline-c.agent.clock.Now(), time.Millisecond).Milliseconds()),
		Excluded:           excluded,
		ContinuationTokens: uint32(ask.ContinuationTokens),
		AgentZone:          string(c.agent.settings.Node.Zone),
		Hops:               c.handBacks,
		Spills:             uint32(c.spills),
	}
}

func (c *requestRunner) placementEvent(ask attempt.RequestPlacement, at *routerState, answer *rpc.PlaceResponse) attempt.Event {
	switch outcome := answer.GetOutcome().(type) {
	case *rpc.PlaceResponse_Grant:
		c.recordGrant()
		return c.grantEvent(ask, outcome.Grant)
	case *rpc.PlaceResponse_Refusal:
		return c.refusalEvent(ask, at, outcome.Refusal)
	case *rpc.PlaceResponse_HandBack:
		c.recordHandBack(outcome.HandBack)
		routers := make([]fleet.Address, 0, len(outcome.HandBack.GetRouters()))
		for _, address := range outcome.HandBack.GetRouters() {
			routers = append(routers, fleet.Address(address))
		}
		return attempt.Redirected{Operation: ask.Operation, Routers: routers}
	default:
		return attempt.PlacementFailed{Operation: ask.Operation}
	}
}

// recordHandBack counts a hand-back. When several routers are saturated, the
// request goes back to its first choice and waits there.
func (c *requestRunner) recordHandBack(handBack *rpc.HandBack) {
	c.handBacks++
	if handBack.GetReason() != string(placement.HandBackSaturated) {
		return
	}
	c.agent.metrics.spills.Inc()
	c.spills++
	if c.spills >= affinity.MaxSpills {
		clear(c.tried)
	}
}

// recordGrant widens the prefix's routing if another router than the saturated
// one had room.
func (c *requestRunner) recordGrant() {
	if c.spills > 0 && c.spills < affinity.MaxSpills {
		c.agent.routers.recordSpill(*c.route)
	}
	c.spills = 0
}

func (c *requestRunner) grantEvent(ask attempt.RequestPlacement, grant *rpc.Grant) attempt.Event {
	if _, err := netip.ParseAddrPort(grant.GetAddress()); err != nil || grant.GetRun().GetEngine() == "" {
		c.agent.logger.Error().Str("request_id", string(c.request.id)).Str("address", grant.GetAddress()).Msg("grant_malformed")
		return attempt.PlacementFailed{Operation: ask.Operation}
	}
	event := attempt.Granted{
		Operation: ask.Operation,
		Attempt:   ask.Attempt,
		Run: fleet.EngineRun{
			Engine:      fleet.EngineID(grant.GetRun().GetEngine()),
			Incarnation: fleet.Incarnation(grant.GetRun().GetIncarnation()),
		},
		Address:  fleet.Address(grant.GetAddress()),
		Priority: int(grant.GetPriority()),
	}
	if valid := grant.GetValidMillis(); valid > 0 {
		event.ValidUntil = c.agent.clock.Now() + time.Duration(valid)*time.Millisecond
	}
	return event
}

// refusalEvent treats a router that has no configuration yet as one that hands
// back: the exchange started by its answer brings it up to date.
func (c *requestRunner) refusalEvent(ask attempt.RequestPlacement, at *routerState, refusal *rpc.Refusal) attempt.Event {
	code := resultcode.Code(refusal.GetCode())
	switch code {
	case resultcode.NoConfiguration:
		c.agent.requestSync(at)
		return attempt.Redirected{Operation: ask.Operation}
	case resultcode.StaleWeights:
		if ask.ContinuationTokens == 0 && c.switchVersion(at) {
			return attempt.Redirected{Operation: ask.Operation}
		}
	}
	return attempt.Refused{
		Operation:  ask.Operation,
		Code:       code,
		Reason:     refusal.GetReason(),
		RetryAfter: time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond,
	}
}

// switchVersion moves a request whose version was retired while it waited to
// the one that serves now. It must not have any output yet: weights never
// change within one.
func (c *requestRunner) switchVersion(at *routerState) bool {
	c.agent.syncWith(at)
	view := c.agent.config.Current()
	weights, model, found := view.ResolveModel(c.request.body.Model)
	if !found || weights == c.request.weights {
		return false
	}
	c.request.weights = weights
	c.request.hashPrompt(model)
	c.route = nil
	return true
}

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

// placeTimeoutMargin is added to the maximum wait of a class to get the timeout of a placement
// call.
const placeTimeoutMargin = 5 * time.Second

var errMismatchedResponse = errors.New("response for another request or attempt")

// place requests a placement from a router and returns the outcome as an event.
func (c *requestRunner) place(ctx context.Context, action attempt.RequestPlacement) attempt.Event {
	router := c.chooseRouter(action)
	c.routerByAttempt[action.Attempt] = router
	aliveContext := c.agent.routers.beginWait(router)
	defer c.agent.routers.endWait(router)
	ctx, cancel := context.WithTimeout(ctx, c.request.maxWait+placeTimeoutMargin)
	defer cancel()
	defer context.AfterFunc(aliveContext, cancel)()
	response, err := router.client.Place(ctx, c.placeRequest(action))
	if err == nil && (response.GetRequestId() != string(c.request.id) || response.GetAttempt() != uint32(action.Attempt)) {
		err = errMismatchedResponse
	}
	if err != nil {
		c.handlePlacementFailure(ctx, router, err)
		return attempt.PlacementFailed{Operation: action.Operation}
	}
	c.agent.handleResponseHeader(router, response.GetHeader())
	return c.placementEvent(action, router, response)
}

// chooseRouter returns the router to ask and counts the try.
func (c *requestRunner) chooseRouter(action attempt.RequestPlacement) *routerState {
	if c.route == nil {
		selected := c.agent.routers.newRoute(c.request)
		c.route = &selected
	}
	router := c.agent.routers.chooseRouter(*c.route, action.Preferred, c.tries)
	c.tries[router.address]++
	return router
}

// handlePlacementFailure records the router's failure, unless the call was cancelled by the request
// or by a failure already recorded.
func (c *requestRunner) handlePlacementFailure(ctx context.Context, router *routerState, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.agent.handleRouterFailure(router, "place", err)
}

func (c *requestRunner) placeRequest(action attempt.RequestPlacement) *rpc.PlaceRequest {
	excluded := make([]*rpc.EngineRun, 0, len(action.Excluded))
	for _, run := range action.Excluded {
		excluded = append(excluded, encodeRun(run))
	}
	hashes := make([]uint64, 0, len(c.request.hashes))
	for _, hash := range c.request.hashes {
		hashes = append(hashes, uint64(hash))
	}
	modelVersion := c.request.modelVersion
	return &rpc.PlaceRequest{
		Header:    c.agent.header(),
		RequestId: string(c.request.id),
		Attempt:   uint32(action.Attempt),
		Tenant:    string(c.request.tenant.Name),
		Weights: &rpc.Weights{
			Model:   string(modelVersion.Model),
			Adapter: string(modelVersion.Adapter),
			Version: string(modelVersion.Version),
		},
		Class:              string(c.request.class),
		PromptTokens:       uint32(c.request.promptTokens),
		MaxTokens:          uint32(c.request.maxTokens),
		BlockHashes:        hashes,
		DeadlineMillis:     uint32(max(c.request.deadline-c.agent.clock.Now(), time.Millisecond).Milliseconds()),
		Excluded:           excluded,
		ContinuationTokens: uint32(action.ContinuationTokens),
		AgentZone:          string(c.agent.settings.Node.Zone),
		Hops:               c.handBacks,
		Spills:             uint32(c.spills),
	}
}

func (c *requestRunner) placementEvent(action attempt.RequestPlacement, router *routerState, response *rpc.PlaceResponse) attempt.Event {
	switch outcome := response.GetOutcome().(type) {
	case *rpc.PlaceResponse_Grant:
		c.recordGrant()
		return c.grantEvent(action, outcome.Grant)
	case *rpc.PlaceResponse_Refusal:
		return c.refusalEvent(action, router, outcome.Refusal)
	case *rpc.PlaceResponse_HandBack:
		c.recordHandBack(outcome.HandBack)
		routers := make([]fleet.Address, 0, len(outcome.HandBack.GetRouters()))
		for _, address := range outcome.HandBack.GetRouters() {
			routers = append(routers, fleet.Address(address))
		}
		return attempt.Redirected{Operation: action.Operation, Routers: routers}
	default:
		return attempt.PlacementFailed{Operation: action.Operation}
	}
}

// recordHandBack counts a hand-back. After several saturated routers, the request returns to its
// first choice and waits there.
func (c *requestRunner) recordHandBack(handBack *rpc.HandBack) {
	c.handBacks++
	if handBack.GetReason() != string(placement.HandBackSaturated) {
		return
	}
	c.agent.metrics.spills.Inc()
	c.spills++
	if c.spills >= affinity.MaxSpills {
		clear(c.tries)
	}
}

// recordGrant spreads the prefix over more routers if a saturated router's request was granted by
// another one.
func (c *requestRunner) recordGrant() {
	if c.spills > 0 && c.spills < affinity.MaxSpills {
		c.agent.routers.recordSpill(*c.route)
	}
	c.spills = 0
}

func (c *requestRunner) grantEvent(action attempt.RequestPlacement, grant *rpc.Grant) attempt.Event {
	if _, err := netip.ParseAddrPort(grant.GetAddress()); err != nil || grant.GetRun().GetEngine() == "" {
		c.agent.logger.Error().Str("request_id", string(c.request.id)).Str("address", grant.GetAddress()).Msg("grant_malformed")
		return attempt.PlacementFailed{Operation: action.Operation}
	}
	event := attempt.Granted{
		Operation: action.Operation,
		Attempt:   action.Attempt,
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

// refusalEvent converts a refusal to an event. A router without configuration is treated as one
// that hands the request back; a sync updates it.
func (c *requestRunner) refusalEvent(action attempt.RequestPlacement, router *routerState, refusal *rpc.Refusal) attempt.Event {
	code := resultcode.Code(refusal.GetCode())
	switch code {
	case resultcode.NoConfiguration:
		c.agent.requestSync(router)
		return attempt.Redirected{Operation: action.Operation}
	case resultcode.StaleWeights:
		if action.ContinuationTokens == 0 && c.switchVersion(router) {
			return attempt.Redirected{Operation: action.Operation}
		}
	}
	return attempt.Refused{
		Operation:  action.Operation,
		Code:       code,
		Reason:     refusal.GetReason(),
		RetryAfter: time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond,
	}
}

// switchVersion moves a request whose model version was retired while it waited to the serving
// version. It must not be called after the first token, since the version never changes within an
// output.
func (c *requestRunner) switchVersion(router *routerState) bool {
	c.agent.syncWith(router)
	view := c.agent.config.Current()
	modelVersion, model, found := view.ResolveModel(c.request.body.Model)
	if !found || modelVersion == c.request.modelVersion {
		return false
	}
	c.request.modelVersion = modelVersion
	c.request.hashPrompt(model)
	c.route = nil
	return true
}

package router

import (
	"time"

	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// maxBlockHashes limits the block hashes of a request: 2^16 blocks of 16 tokens cover a prompt of a
// million tokens.
const maxBlockHashes = 1 << 16

// decodePlaceRequest validates and decodes a placement request.
func decodePlaceRequest(message *rpc.PlaceRequest) (placement.Request, error) {
	switch {
	case message.GetRequestId() == "":
		return placement.Request{}, twirp.RequiredArgumentError("request_id")
	case message.GetAttempt() == 0:
		return placement.Request{}, twirp.InvalidArgumentError("attempt", "must be positive")
	case len(message.GetBlockHashes()) > maxBlockHashes:
		return placement.Request{}, twirp.InvalidArgumentError("block_hashes", "too many")
	}
	request := placement.Request{
		Key:                placementKey(message.GetRequestId(), message.GetAttempt()),
		Tenant:             fleet.TenantName(message.GetTenant()),
		ModelVersion:       decodeModelVersion(message.GetWeights()),
		Class:              fleet.ClassName(message.GetClass()),
		PromptTokens:       int(message.GetPromptTokens()),
		MaxTokens:          int(message.GetMaxTokens()),
		Blocks:             make([]fleet.BlockHash, 0, len(message.GetBlockHashes())),
		Deadline:           time.Duration(message.GetDeadlineMillis()) * time.Millisecond,
		ContinuationTokens: int(message.GetContinuationTokens()),
		AgentZone:          fleet.ZoneName(message.GetAgentZone()),
		Hops:               int(message.GetHops()),
		Spills:             int(min(message.GetSpills(), message.GetHops())),
		KnownRevision:      fleet.Revision(message.GetHeader().GetKnownRevision()),
	}
	for _, hash := range message.GetBlockHashes() {
		request.Blocks = append(request.Blocks, fleet.BlockHash(hash))
	}
	for _, run := range message.GetExcluded() {
		request.Excluded = append(request.Excluded, decodeRun(run))
	}
	return request, nil
}

func placementKey(request string, attempt uint32) placement.Key {
	return placement.Key{Request: fleet.RequestID(request), Attempt: fleet.Attempt(attempt)}
}

func decodeModelVersion(message *rpc.Weights) fleet.ModelVersion {
	return fleet.ModelVersion{
		Model:   fleet.ModelName(message.GetModel()),
		Adapter: fleet.AdapterName(message.GetAdapter()),
		Version: fleet.VersionName(message.GetVersion()),
	}
}

func decodeRun(message *rpc.EngineRun) fleet.EngineRun {
	return fleet.EngineRun{
		Engine:      fleet.EngineID(message.GetEngine()),
		Incarnation: fleet.Incarnation(message.GetIncarnation()),
	}
}

func encodeRun(run fleet.EngineRun) *rpc.EngineRun {
	return &rpc.EngineRun{Engine: string(run.Engine), Incarnation: uint64(run.Incarnation)}
}

// encodeOutcome sets the outcome of response. For a hand-back, routers lists the alternatives,
// unless the agent uses its own order.
func encodeOutcome(response *rpc.PlaceResponse, outcome placement.Outcome, routers []string) {
	switch outcome := outcome.(type) {
	case placement.Grant:
		response.Outcome = &rpc.PlaceResponse_Grant{Grant: encodeGrant(outcome)}
	case placement.Refusal:
		response.Outcome = &rpc.PlaceResponse_Refusal{Refusal: &rpc.Refusal{
			Code:             uint32(outcome.Code),
			Reason:           outcome.Reason,
			RetryAfterMillis: ceilMillis(outcome.RetryAfter),
		}}
	case placement.HandBack:
		handBack := &rpc.HandBack{Reason: string(outcome.Reason)}
		if !agentOrdersRouters(outcome.Reason) {
			handBack.Routers = routers
		}
		response.Outcome = &rpc.PlaceResponse_HandBack{HandBack: handBack}
	}
}

// agentOrdersRouters reports whether an agent uses its own order of routers after a hand-back.
func agentOrdersRouters(reason placement.HandBackReason) bool {
	switch reason {
	case placement.HandBackSaturated, placement.HandBackNoEngine, placement.HandBackWarmingUp:
		return true
	default:
		return false
	}
}

func encodeGrant(grant placement.Grant) *rpc.Grant {
	return &rpc.Grant{
		Run:                  encodeRun(grant.Run),
		Address:              string(grant.Address),
		Priority:             int32(grant.Priority),
		ExpectedCachedTokens: uint32(max(grant.ExpectedCachedTokens, 0)),
		ValidMillis:          ceilMillis(grant.ValidFor),
		BlockTokens:          uint32(grant.BlockTokens),
	}
}

// ceilMillis converts a duration to milliseconds, rounded up so that a wait is never reported too
// short.
func ceilMillis(duration time.Duration) uint32 {
	return uint32(max((duration+time.Millisecond-1)/time.Millisecond, 0))
}

var phases = map[rpc.AttemptPhase]placement.Phase{
	rpc.AttemptPhase_ATTEMPT_PHASE_ACCEPTED:    placement.PhaseAccepted,
	rpc.AttemptPhase_ATTEMPT_PHASE_FIRST_TOKEN: placement.PhaseFirstToken,
	rpc.AttemptPhase_ATTEMPT_PHASE_FINISHED:    placement.PhaseFinished,
	rpc.AttemptPhase_ATTEMPT_PHASE_FAILED:      placement.PhaseFailed,
	rpc.AttemptPhase_ATTEMPT_PHASE_ABANDONED:   placement.PhaseAbandoned,
}

// decodeReport decodes a report. The second result is false if its phase is unknown.
func decodeReport(message *rpc.AttemptReport) (placement.AttemptReport, bool) {
	phase, known := phases[message.GetPhase()]
	return placement.AttemptReport{
		Key:          placementKey(message.GetRequestId(), message.GetAttempt()),
		Run:          decodeRun(message.GetRun()),
		Phase:        phase,
		CachedTokens: int(message.GetCachedTokens()),
		OutputTokens: int(message.GetOutputTokens()),
		EngineLost:   message.GetEngineLost(),
	}, known
}

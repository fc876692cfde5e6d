package router

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// maxHandBackRouters limits the alternative routers in a hand-back.
const maxHandBackRouters = 4

// placementServer serves agents.
type placementServer struct {
	router *Router
	logger zerolog.Logger
}

var _ rpc.Placement = (*placementServer)(nil)

// Place implements rpc.Placement. It waits for the outcome; if the agent cancels the call, the
// request is withdrawn.
func (s *placementServer) Place(ctx context.Context, message *rpc.PlaceRequest) (*rpc.PlaceResponse, error) {
	request, err := decodePlaceRequest(message)
	if err != nil {
		return nil, err
	}
	s.router.observeRevision(message.GetHeader())
	started := s.router.clock.Now()
	outcome, err := s.decide(ctx, request)
	waited := s.router.clock.Now() - started
	if err != nil {
		s.logger.Info().Str("request_id", message.GetRequestId()).Uint32("attempt", message.GetAttempt()).
			Dur("waited_ms", waited).Err(err).Msg("place_withdrawn")
		return nil, twirp.Canceled.Error(err.Error())
	}
	s.logOutcome(request, outcome, waited)
	response := &rpc.PlaceResponse{
		Header:    s.router.header(),
		RequestId: message.GetRequestId(),
		Attempt:   message.GetAttempt(),
	}
	encodeOutcome(response, outcome, s.router.otherRouters(maxHandBackRouters))
	return response, nil
}

// decide submits a request to the placement core once configuration and engines are known.
func (s *placementServer) decide(ctx context.Context, request placement.Request) (placement.Outcome, error) {
	if reason := s.unpreparedReason(request); reason != "" {
		outcome := placement.HandBack{Key: request.Key, Reason: reason}
		s.router.metrics.observeOutcome(request.Class, outcome, 0)
		return outcome, nil
	}
	return s.router.placer.place(ctx, request)
}

// unpreparedReason returns why a recently started router hands a request back, or "" if it doesn't.
// The response shows an agent that has a newer configuration that this router is behind, and the
// agent then updates it. A request that was already handed back is placed even during warm-up:
// after a restart of all routers, no other router is better prepared.
func (s *placementServer) unpreparedReason(request placement.Request) placement.HandBackReason {
	switch {
	case request.KnownRevision == 0:
		return ""
	case !s.router.configured.Load():
		return placement.HandBackStaleConfiguration
	case !s.router.listed.Load():
		return placement.HandBackNoEngine
	case request.Hops == 0 && s.router.isWarmingUp():
		return placement.HandBackWarmingUp
	}
	return ""
}

func (s *placementServer) logOutcome(request placement.Request, outcome placement.Outcome, waited time.Duration) {
	event := s.logger.Info().Str("request_id", string(request.Key.Request)).Uint32("attempt", uint32(request.Key.Attempt)).
		Str("tenant", string(request.Tenant)).Str("class", string(request.Class)).Dur("waited_ms", waited)
	switch outcome := outcome.(type) {
	case placement.Grant:
		event.Str("engine", string(outcome.Run.Engine)).Uint64("incarnation", uint64(outcome.Run.Incarnation)).
			Int("expected_cached_tokens", outcome.ExpectedCachedTokens).Msg("place_granted")
	case placement.Refusal:
		event.Uint32("code", uint32(outcome.Code)).Str("reason", outcome.Reason).
			Dur("retry_after_ms", outcome.RetryAfter).Msg("place_refused")
	case placement.HandBack:
		event.Str("reason", string(outcome.Reason)).Msg("place_handed_back")
	}
}

// Report implements rpc.Placement.
func (s *placementServer) Report(_ context.Context, message *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	s.router.observeRevision(message.GetHeader())
	s.router.placer.do(func(now time.Duration, core *placement.Core) {
		for _, encoded := range message.GetReports() {
			if report, known := decodeReport(encoded); known {
				core.Report(now, report)
			}
		}
	})
	return &rpc.ReportResponse{Header: s.router.header()}, nil
}

package gateway

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// perMillion is the unit of encoded shares.
const perMillion = 1_000_000

// encodeDirective encodes a directive. Its age is rounded up.
func encodeDirective(now time.Duration, directive *delivery.Directive) *rpc.DeliveryDirective {
	encoded := &rpc.DeliveryDirective{
		Service:      string(directive.Service),
		Target:       string(directive.Target),
		Revision:     directive.Revision.Number(),
		Epoch:        uint32(directive.Revision.Epoch()),
		Sequence:     directive.Sequence,
		Stage:        uint32(directive.Stage),
		Issuer:       string(directive.Issuer),
		AgeMillis:    uint32(min(max(now-directive.IssuedAt, 0).Milliseconds()+1, maxAgeMillis)),
		DefaultShare: encodeShare(directive.DefaultShare),
	}
	if directive.ShiftAt > 0 {
		encoded.ShiftInMillis = uint32(min(max(directive.ShiftAt-now, 0).Milliseconds(), maxAgeMillis)) + 1
	}
	for route, share := range directive.Shares {
		encoded.Shares = append(encoded.Shares, &rpc.RouteShare{Route: string(route), Share: encodeShare(share)})
	}
	for _, worker := range directive.Canaries {
		encoded.Canaries = append(encoded.Canaries, string(worker))
	}
	for _, version := range directive.Rejected {
		encoded.Condemned = append(encoded.Condemned, string(version))
	}
	return encoded
}

// maxAgeMillis bounds encoded ages.
const maxAgeMillis = 1 << 31

// decodeDirective decodes a directive from a call that began at start and was received at received,
// and reports whether it is valid. The age counts from start and the time until a shift from
// received, so that neither is too short.
func decodeDirective(start, received time.Duration, encoded *rpc.DeliveryDirective) (delivery.Directive, bool) {
	stage := delivery.Stage(encoded.GetStage())
	if stage < delivery.StageCanary || stage > delivery.StageRolledBack || encoded.GetService() == "" || encoded.GetTarget() == "" {
		return delivery.Directive{}, false
	}
	revision, err := decodeRevision(encoded.GetEpoch(), encoded.GetRevision())
	if err != nil {
		return delivery.Directive{}, false
	}
	directive := delivery.Directive{
		Service:      fleet.PoolName(encoded.GetService()),
		Target:       fleet.SoftwareVersion(encoded.GetTarget()),
		Revision:     revision,
		Sequence:     encoded.GetSequence(),
		Stage:        stage,
		Issuer:       fleet.NodeID(encoded.GetIssuer()),
		IssuedAt:     start - time.Duration(encoded.GetAgeMillis())*time.Millisecond,
		Shares:       make(map[delivery.RouteName]float64, len(encoded.GetShares())),
		DefaultShare: decodeShare(encoded.GetDefaultShare()),
	}
	if encoded.GetShiftInMillis() > 0 {
		directive.ShiftAt = received + time.Duration(encoded.GetShiftInMillis()-1)*time.Millisecond
	}
	for _, share := range encoded.GetShares() {
		directive.Shares[delivery.RouteName(share.GetRoute())] = decodeShare(share.GetShare())
	}
	for _, worker := range encoded.GetCanaries() {
		directive.Canaries = append(directive.Canaries, fleet.EngineID(worker))
	}
	for _, version := range encoded.GetCondemned() {
		directive.Rejected = append(directive.Rejected, fleet.SoftwareVersion(version))
	}
	return directive, true
}

func encodeShare(share float64) uint32 { return uint32(min(max(share, 0), 1) * perMillion) }

func decodeShare(share uint32) float64 { return min(float64(share)/perMillion, 1) }

func encodeEvidence(evidence *delivery.Evidence) *rpc.DeliveryEvidence {
	encoded := &rpc.DeliveryEvidence{
		Service: string(evidence.Service), Stopped: evidence.Stopped,
		Revision: evidence.Revision.Number(), Epoch: uint32(evidence.Revision.Epoch()),
	}
	for route, counts := range evidence.Old {
		encoded.Counts = append(encoded.Counts, encodeCounts(route, "", counts))
	}
	for route, workers := range evidence.New {
		for worker, counts := range workers {
			encoded.Counts = append(encoded.Counts, encodeCounts(route, worker, counts))
		}
	}
	return encoded
}

func encodeCounts(route delivery.RouteName, worker fleet.EngineID, counts *delivery.Counts) *rpc.DeliveryCounts {
	used := len(counts.Latency)
	for used > 0 && counts.Latency[used-1] == 0 {
		used--
	}
	latency := make([]uint32, used)
	copy(latency, counts.Latency[:used])
	return &rpc.DeliveryCounts{
		Route: string(route), Worker: string(worker), Answers: counts.Responses, Failures: counts.Failures, Latency: latency,
	}
}

// decodeEvidence decodes evidence and reports whether it is valid.
func decodeEvidence(encoded *rpc.DeliveryEvidence) (delivery.Evidence, bool) {
	revision, err := decodeRevision(encoded.GetEpoch(), encoded.GetRevision())
	if err != nil {
		return delivery.Evidence{}, false
	}
	evidence := delivery.Evidence{
		Service:  fleet.PoolName(encoded.GetService()),
		Revision: revision,
		Old:      make(map[delivery.RouteName]*delivery.Counts),
		New:      make(map[delivery.RouteName]map[fleet.EngineID]*delivery.Counts),
		Stopped:  encoded.GetStopped(),
	}
	for _, entry := range encoded.GetCounts() {
		counts := &delivery.Counts{Responses: entry.GetAnswers(), Failures: entry.GetFailures()}
		copy(counts.Latency[:], entry.GetLatency())
		route := delivery.RouteName(entry.GetRoute())
		if entry.GetWorker() == "" {
			evidence.Old[route] = counts
			continue
		}
		if evidence.New[route] == nil {
			evidence.New[route] = make(map[fleet.EngineID]*delivery.Counts)
		}
		evidence.New[route][fleet.EngineID(entry.GetWorker())] = counts
	}
	return evidence, true
}

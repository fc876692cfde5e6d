package gateway

import (
	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// errQuarantined is the cause of a send that isn't made, or is cancelled before its response
// begins, because its request is quarantined.
var errQuarantined = errors.New("request is quarantined")

// refuseQuarantinedParts returns a refusal if the prompt of a request holds a quarantined part whose trial
// isn't due. It comes before the request is charged to anything, and before its body is read.
func (g *Gateway) refuseQuarantinedParts(current *callerRequest) *refusal {
	g.awaitQuarantine(current.request.Context())
	current.parts = partFingerprints(current)
	if len(current.parts) == 0 {
		return nil
	}
	verdict := g.quarantines.check(g.now(), quarantine.Subject{Parts: current.parts})
	if !verdict.Quarantined || verdict.TrialDue {
		return nil
	}
	return g.refuseQuarantined(current, verdict)
}

// checkQuarantine returns a refusal if a request is quarantined. A request whose trial is due
// passes if this gateway acquires the trial.
func (g *Gateway) checkQuarantine(current *callerRequest) *refusal {
	verdict := g.quarantines.check(g.now(), current.subject())
	if !verdict.Quarantined {
		return nil
	}
	if verdict.TrialDue && g.acquireTrial(current, verdict) {
		current.quarantineTrial, current.trialOf = true, verdict.Fingerprint
		return nil
	}
	return g.refuseQuarantined(current, verdict)
}

// refuseQuarantined returns the refusal of a quarantined request, and logs it.
func (g *Gateway) refuseQuarantined(current *callerRequest, verdict quarantine.Verdict) *refusal {
	g.recordQuarantinedRequest(current, verdict)
	return &refusal{code: resultcode.Quarantined, reason: reasonQuarantined, retryAfter: max(verdict.RetryAfter, longRetryAfter)}
}

// Refusal reasons of requests that crash workers, or may.
const (
	reasonQuarantined = "request is quarantined"
	reasonSuspected   = "request may have crashed its worker"
)

// quarantineVerdict returns the verdict on a request and whether it is quarantined, and logs it if
// so. The trial of a quarantined request passes.
func (g *Gateway) quarantineVerdict(current *callerRequest) (quarantine.Verdict, bool) {
	if current.quarantineTrial {
		return quarantine.Verdict{}, false
	}
	verdict := g.quarantines.check(g.now(), current.subject())
	if verdict.Quarantined {
		g.recordQuarantinedRequest(current, verdict)
	}
	return verdict, verdict.Quarantined
}

// recordQuarantinedRequest logs and counts a request that was refused or cancelled by quarantine.
func (g *Gateway) recordQuarantinedRequest(current *callerRequest, verdict quarantine.Verdict) {
	g.metrics.quarantineRefusals.Inc()
	g.events.line("request_held").Str("request_id", current.metadata.RequestID).Str("fingerprint", verdict.Fingerprint.String()).
		Str("route", current.route.Name).Int("ends", verdict.Crashes).Dur("first_end_age", verdict.FirstAge).
		Dur("last_end_age", verdict.LastAge).Int("trials", verdict.Trials).Dur("retry_after", verdict.RetryAfter).Msg("request_held")
}

// recordWorkerCrash records the requests whose runs ended with their worker, unless the worker was
// draining.
func (g *Gateway) recordWorkerCrash(worker fleet.EngineID, evidence quarantine.Evidence, lost []quarantine.Subject) {
	if g.workers.IsDraining(worker) {
		return
	}
	g.metrics.runsEndedWithWorker.Add(float64(len(lost)))
	g.events.line("worker_ended").Str("worker", string(worker)).Str("proof", evidence.String()).
		Int("runs", len(lost)).Str("fingerprints", shortFingerprints(lost)).Msg("worker_ended")
	var suspects []quarantine.Fingerprint
	seen := make(map[quarantine.Fingerprint]bool)
	for index := range lost {
		for _, fingerprint := range lost[index].Fingerprints() {
			if !seen[fingerprint] {
				seen[fingerprint] = true
				suspects = append(suspects, fingerprint)
			}
		}
	}
	g.handleQuarantineChange("worker_ended", g.quarantines.recordCrash(g.now(), suspects, worker))
}

// recordCompleteResponse records a complete response to a request. That to the trial of a part ends the
// part's quarantine, although it is only one answer.
func (g *Gateway) recordCompleteResponse(current *callerRequest) {
	g.handleQuarantineChange("answered", g.quarantines.recordResponse(g.now(), current.subject()))
	if current.quarantineTrial && current.trialOf.IsPart() {
		g.handleQuarantineChange("answered", g.quarantines.release(g.now(), current.trialOf))
	}
}

// handleQuarantineChange logs the start or end of quarantines and their source. At the start it cancels
// sends whose response hasn't begun.
func (g *Gateway) handleQuarantineChange(source string, change quarantineChange) {
	if len(change.began) > 0 {
		now := g.now()
		cancelled := g.pending.cancelQuarantined(func(subject *quarantine.Subject) bool {
			return g.quarantines.check(now, *subject).Quarantined
		})
		for _, verdict := range change.began {
			g.logger.Warn().Str("fingerprint", verdict.Fingerprint.String()).Bool("part", verdict.Fingerprint.IsPart()).
				Str("source", source).Int("ends", verdict.Crashes).
				Dur("first_end_age", verdict.FirstAge).Dur("last_end_age", verdict.LastAge).
				Int("trials", verdict.Trials).Int("broken_off", cancelled).Msg("quarantine_began")
		}
	}
	for _, fingerprint := range change.ended {
		g.logger.Warn().Str("fingerprint", fingerprint.String()).Bool("part", fingerprint.IsPart()).Str("source", source).Msg("quarantine_ended")
	}
}

// sweepQuarantines drops expired records.
func (g *Gateway) sweepQuarantines() {
	released, quarantined := g.quarantines.sweep(g.now())
	g.metrics.quarantined.Set(float64(quarantined))
	g.handleQuarantineChange("forgotten", quarantineChange{ended: released})
}

package router

import (
	"fmt"
	"time"

	"github.com/tillerfall/tillerfall/internal/operator"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// describeExplanation converts a placement explanation to its form for operators.
func describeExplanation(explanation placement.Explanation) operator.Explanation {
	described := operator.Explanation{Outcome: fmt.Sprintf("attempt %d: %s", explanation.Key.Attempt, describeOutcome(explanation))}
	if explanation.Decision == nil {
		return described
	}
	for _, candidate := range explanation.Decision.Candidates {
		described.Candidates = append(described.Candidates, describeCandidate(candidate))
	}
	return described
}

func describeOutcome(explanation placement.Explanation) string {
	waited := (explanation.Decided - explanation.Submitted).Round(time.Millisecond)
	switch outcome := explanation.Outcome.(type) {
	case placement.Grant:
		return fmt.Sprintf("granted %s after %s, %d tokens expected in its cache", outcome.Run.Engine, waited, outcome.ExpectedCachedTokens)
	case placement.Refusal:
		return fmt.Sprintf("refused after %s with %d %s: %s", waited, outcome.Code, outcome.Code, outcome.Reason)
	case placement.HandBack:
		return fmt.Sprintf("handed back after %s: %s", waited, outcome.Reason)
	default:
		return "waiting: " + explanation.Waiting
	}
}

func describeCandidate(candidate scheduling.Candidate) operator.Candidate {
	scores := candidate.Scores
	return operator.Candidate{
		Run:          candidate.Run,
		Chosen:       candidate.Chosen,
		Rejected:     candidate.RemovedBy,
		CachedTokens: scores.CachedTokens,
		Queue:        scores.Queue,
		Prefill:      scores.Prefill,
		Interference: scores.Interference,
		Zone:         scores.Zone,
		Recompute:    scores.Recompute,
	}
}

package scheduling

import (
	"math/rand/v2"
	"time"
)

// stackCandidates is the number of candidates up to which a decision does not allocate.
const stackCandidates = 64

// Scheduler places requests on engines. It keeps no state between decisions and is safe for
// concurrent use if each goroutine passes its own random generator.
type Scheduler struct {
	options Options
}

// New returns a scheduler with the given options.
func New(options Options) *Scheduler {
	return &Scheduler{options: options}
}

// scoredEndpoint is an endpoint that passed every filter, with its scores.
type scoredEndpoint struct {
	index  int
	scores Scores
}

// Schedule chooses an endpoint for a request. It returns false if no endpoint passes the filters;
// Decision.Candidates still explains why if the request asks for it. random is only used to break
// ties.
func (s *Scheduler) Schedule(request Request, endpoints []Endpoint, random *rand.Rand) (Decision, bool) {
	var buffer [stackCandidates]scoredEndpoint
	candidates := buffer[:0]
	if len(endpoints) > stackCandidates {
		candidates = make([]scoredEndpoint, 0, len(endpoints))
	}
	var explanation []Candidate
	if request.Explain {
		explanation = make([]Candidate, len(endpoints))
	}
	congestion := 0.0
	for index := range endpoints {
		endpoint := &endpoints[index]
		filter := removedBy(&request, endpoint)
		if filter == "" {
			candidates = append(candidates, scoredEndpoint{index: index})
			congestion += s.congestionAt(endpoint)
		}
		if request.Explain {
			explanation[index] = Candidate{Run: endpoint.Run, RemovedBy: filter}
		}
	}
	if len(candidates) == 0 {
		return Decision{Candidates: explanation}, false
	}
	return s.scoreAndPick(&request, endpoints, candidates, congestion, explanation, random), true
}

// ChooseAmong chooses among endpoints that the caller has already filtered. endpoints must not be
// empty.
func (s *Scheduler) ChooseAmong(request Request, endpoints []Endpoint, random *rand.Rand) Decision {
	var buffer [stackCandidates]scoredEndpoint
	candidates := buffer[:0]
	if len(endpoints) > stackCandidates {
		candidates = make([]scoredEndpoint, 0, len(endpoints))
	}
	congestion := 0.0
	for index := range endpoints {
		candidates = append(candidates, scoredEndpoint{index: index})
		congestion += s.congestionAt(&endpoints[index])
	}
	return s.scoreAndPick(&request, endpoints, candidates, congestion, nil, random)
}

// scoreAndPick scores the candidates and picks one. congestion is the sum over the candidates.
func (s *Scheduler) scoreAndPick(request *Request, endpoints []Endpoint, candidates []scoredEndpoint, congestion float64, explanation []Candidate, random *rand.Rand) Decision {
	prices := s.recomputePricesAt(congestion/float64(len(candidates)), request.RecomputeDiscount)
	for position := range candidates {
		candidate := &candidates[position]
		candidate.scores = s.score(request, &endpoints[candidate.index], prices)
		if request.Explain {
			explanation[candidate.index].Scores = candidate.scores
		}
	}
	chosen, late := s.pick(request, endpoints, candidates, random)
	if request.Explain {
		explanation[chosen.index].Chosen = true
	}
	return Decision{
		Index:          chosen.index,
		Endpoint:       endpoints[chosen.index],
		CachedTokens:   chosen.scores.CachedTokens,
		ImportedTokens: chosen.scores.ImportedTokens,
		FirstToken:     chosen.scores.FirstToken() - chosen.scores.Computed,
		ServiceTime:    chosen.scores.ServiceTime(),
		WaitTime:       chosen.scores.WaitTime(),
		Late:           late,
		Candidates:     explanation,
	}
}

// score predicts the costs of serving the request at an endpoint.
func (s *Scheduler) score(request *Request, endpoint *Endpoint, prices recomputePrices) Scores {
	cached := cachedTokens(request, endpoint)
	imported, importDuration := importTime(request, endpoint, cached)
	uncached := request.PromptTokens - cached - imported
	cold := min(endpoint.ColdTokens, uncached)
	return Scores{
		CachedTokens:   cached,
		ImportedTokens: imported,
		Import:         importDuration,
		Queue:          queueTime(endpoint),
		LowerPriority:  prefillTime(endpoint, endpoint.LowerPriorityTokens),
		Computed:       prefillTime(endpoint, endpoint.ComputedTokens),
		Prefill:        prefillTime(endpoint, uncached),
		Interference:   interferenceTime(endpoint, uncached),
		Zone:           s.zonePenalty(request, endpoint) + endpoint.NetworkDelay,
		Transfer:       endpoint.TransferCost,
		Recompute:      prices.cost(uncached - cold + endpoint.DuplicateTokens),
		ImportCost:     time.Duration(imported*max(endpoint.ImportCostFactor, 1)) * s.options.ImportWeight,
		Failure:        endpoint.FailureCost,
		Reserved:       endpoint.ReservedPenalty,
		Outdated:       endpoint.OutdatedPenalty,
		DecodeStall:    s.decodeStallCost(endpoint, uncached),
		Memory:         s.memoryCost(endpoint),
	}
}

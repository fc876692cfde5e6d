package experiment

import (
	"fmt"

	"github.com/tillerfall/tillerfall/lab/emulator"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// Headline compares the product at HeadlineLoad with the clairvoyant router, called the limit, and
// with the least-loaded policy. Each field is the product's value divided by that of the other.
type Headline struct {
	Fleet                   string
	HitVsLimit              float64
	WasteVsLimit            float64
	FirstTokenVsLimit       float64
	FirstTokenVsLeastLoaded float64
}

// String returns the headline on one line.
func (h Headline) String() string {
	return fmt.Sprintf("fleet=%s hit_vs_limit=%.3f waste_vs_limit=%.3f ttft_p99_vs_limit=%.3f ttft_p99_vs_least_loaded=%.3f",
		h.Fleet, h.HitVsLimit, h.WasteVsLimit, h.FirstTokenVsLimit, h.FirstTokenVsLeastLoaded)
}

// headline returns the headline of a fleet, or false if one of its runs is missing.
func (r *Record) headline(fleetName string) (Headline, bool) {
	base := Case{Fleet: fleetName, Scenario: ScenarioSteady, Load: HeadlineLoad}
	product := r.find(base.withPolicy(emulator.PolicyTillerfall))
	limit := r.find(base.withPolicy(emulator.PolicyClairvoyant))
	leastLoaded := r.find(base.withPolicy(emulator.PolicyLeastLoaded))
	if product == nil || limit == nil || leastLoaded == nil {
		return Headline{}, false
	}
	return Headline{
		Fleet:                   fleetName,
		HitVsLimit:              product.Result.HitRate / limit.Result.HitRate,
		WasteVsLimit:            product.Result.WasteRate / limit.Result.WasteRate,
		FirstTokenVsLimit:       urgentP99(product) / urgentP99(limit),
		FirstTokenVsLeastLoaded: urgentP99(product) / urgentP99(leastLoaded),
	}, true
}

// Headlines returns the headlines of all fleets whose runs are complete.
func (r *Record) Headlines() []Headline {
	var headlines []Headline
	for _, description := range fleets() {
		if headline, found := r.headline(description.Name); found {
			headlines = append(headlines, headline)
		}
	}
	return headlines
}

func (c Case) withPolicy(policy string) Case {
	c.Policy = policy
	return c
}

func urgentP99(outcome *Outcome) float64 {
	return outcome.Result.FirstTokenByClass[workload.ClassUrgent].P99
}

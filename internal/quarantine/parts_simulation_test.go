package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// withParts gives requests prompts with shared parts, of which some crash workers.
func withParts(harmful int, change func(*simulationConfig)) func(*simulationConfig) {
	return func(config *simulationConfig) {
		config.parts, config.harmful, config.hotFraction = true, harmful, 0
		if change != nil {
			change(config)
		}
	}
}

// refusedFractions are the fractions of harmless requests that may be refused: those of requests that are
// held by themselves (TestQuarantineStopsHarmfulRequestsAndFewOthers) where workers crash now and then, often or
// all at once, ten times that beside harmful parts or where a quarter of them crashes each 3 s, and more in a small
// service.
var refusedFractions = map[string]float64{
	"crashes without cause":                  1e-4,
	"topics of 5 s, racks crash":             1e-3,
	"40 nodes":                               1e-4,
	"crashes each 200 ms":                    1e-4,
	"all workers crash at once":              1e-4,
	"small service":                          0.03,
	"one part":                               1e-3,
	"one part, three attempts":               1e-3,
	"one part, a fifth of the messages lost": 1e-3,
	"one part, a fifth answered":             1e-3,
	"two parts":                              1e-3,
	"one part beside a rare one":             1e-3,
	"one part, small service":                0.03,
	"one part, 40 nodes":                     1e-3,
}

// TestHarmfulPartsAreToldFromOthers guards against parts of prompts that go on crashing workers, and
// against sound requests that are refused since a part of theirs was in flight at crashes.
func TestHarmfulPartsAreToldFromOthers(t *testing.T) {
	const seeds = 8
	outcomes := make(map[string]simulationOutcome)
	for _, variant := range []struct {
		name   string
		change func(*simulationConfig)
	}{
		{"nothing is held", withParts(1, func(c *simulationConfig) { c.options.Threshold = 1000; c.withoutParts = true })},
		{"crashes without cause", withParts(0, nil)},
		{"crashes each 200 ms", withParts(0, func(c *simulationConfig) { c.crashInterval = 200 * time.Millisecond })},
		{"topics of 5 s, racks crash", withParts(0, func(c *simulationConfig) { c.topicLifetime, c.rackCrashInterval = 5*time.Second, 3*time.Second })},
		{"all workers crash at once", withParts(0, func(c *simulationConfig) { c.fullCrashInterval = 6 * time.Second })},
		{"small service", withParts(0, func(c *simulationConfig) { smallService(c); c.hotFraction = 0 })},
		{"40 nodes", withParts(0, func(c *simulationConfig) { c.nodes, c.workers, c.rate = 40, 100, 600 })},
		{"one part", withParts(1, nil)},
		{"one part, three attempts", withParts(1, func(c *simulationConfig) { c.attempts = 3 })},
		{"one part, a fifth of the messages lost", withParts(1, func(c *simulationConfig) { c.lossFraction = 0.2 })},
		{"one part, a fifth answered", withParts(1, func(c *simulationConfig) { c.answeredShare = 0.2 })},
		{"two parts", withParts(2, nil)},
		{"one part beside a rare one", withParts(1, func(c *simulationConfig) { c.rareBeside = true })},
		{"one part, small service", withParts(1, func(c *simulationConfig) { smallService(c); c.hotFraction = 0 })},
		{"one part, 40 nodes", withParts(1, func(c *simulationConfig) { c.nodes, c.workers, c.rate = 40, 100, 600 })},
	} {
		outcomes[variant.name] = simulateAll(seeds, variant.change)
		t.Logf("%-40s %+v", variant.name, outcomes[variant.name])
	}
	assert.Greater(t, outcomes["nothing is held"].maxLateArrivals, 10, "the simulation must show the fault")
	for name, outcome := range outcomes {
		if name == "nothing is held" {
			continue
		}
		assert.LessOrEqual(t, outcome.maxLateArrivals, 3, name)
		assert.LessOrEqual(t, float64(outcome.refused), refusedFractions[name]*float64(outcome.harmless), name)
	}
}

// TestPartThatIsOftenAnsweredIsHeldInTime guards against a harmful part that is learnt too late since a third
// of its runs are answered.
func TestPartThatIsOftenAnsweredIsHeldInTime(t *testing.T) {
	config := defaultConfig(10)
	withParts(1, func(c *simulationConfig) { c.answeredShare = 0.2 })(&config)
	outcome := simulate(config)
	t.Logf("%+v", outcome)
	assert.LessOrEqual(t, outcome.maxLateArrivals, 3)
}

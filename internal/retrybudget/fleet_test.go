package retrybudget

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The drawn schedules: by hand, more of them from another seed on.
var (
	fleetSeed  = flag.Uint64("fleet-seed", 0, "first seed of the drawn schedules")
	fleetSeeds = flag.Uint64("fleet-seeds", 0, "number of drawn schedules of each fleet; 0 means a few")
)

// simulatedFleets are fleets of four sizes, with limits and rates as their operators set them.
var simulatedFleets = []simulatedFleet{
	{gateways: 8, serving: 8, rate: 62, limits: Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}},
	{gateways: 79, serving: 12, rate: 300, limits: Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 198}},
	{gateways: 79, serving: 79, rate: 300, limits: Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 198}},
	{gateways: 300, serving: 16, rate: 600, limits: Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 430}},
	{gateways: 300, serving: 300, rate: 600, limits: Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 430}},
	{gateways: 985, serving: 20, rate: 520, limits: Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 1040}},
	{gateways: 985, serving: 985, rate: 520, limits: Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 1040}},
}

// occurrence is one event of a schedule.
type occurrence struct {
	at    time.Duration
	apply func(*simulation)
}

// play runs a schedule to its end.
func play(s *simulation, schedule []occurrence, length time.Duration) {
	for s.now < length {
		s.advance()
		for len(schedule) > 0 && schedule[0].at <= s.now {
			schedule[0].apply(s)
			schedule = schedule[1:]
		}
	}
}

func rejections(chance float64) func(*simulation) {
	return func(s *simulation) { s.retryChance = chance }
}

// killShare kills a part of the fleet at once.
func killShare(share float64, down time.Duration) func(*simulation) {
	return func(s *simulation) {
		for _, machine := range s.machines {
			if s.random.Float64() < share {
				s.kill(machine, down)
			}
		}
	}
}

func addShare(share float64) func(*simulation) {
	return func(s *simulation) {
		for range int(share * float64(s.fleet.gateways)) {
			s.add()
		}
	}
}

func replaceShare(share float64) func(*simulation) {
	return func(s *simulation) {
		for range max(int(share*float64(s.fleet.gateways)), 1) {
			s.remove(s.pick())
			s.add()
		}
	}
}

func stopShare(share float64) func(*simulation) {
	return func(s *simulation) {
		for range max(int(share*float64(s.fleet.gateways)), 1) {
			s.stop(s.pick())
		}
	}
}

func freezeShare(share float64) func(*simulation) {
	return func(s *simulation) {
		for range max(int(share*float64(s.fleet.gateways)), 1) {
			s.pick().frozenUntil = s.now + 3*time.Second
		}
	}
}

func cutInto(sides int, duration time.Duration) func(*simulation) {
	return func(s *simulation) { s.cut(sides, duration) }
}

// shiftLoad moves the callers to other machines.
func shiftLoad(s *simulation) {
	for number := range s.weights {
		s.weights[number] = s.random.Float64() * s.random.Float64()
	}
}

// retryCases are schedules of single kinds of disruption beside rejections from 20 s on. All of them
// together in random order are in TestRetriesStayInTheFleetsBudgetInAnyOrderOfEvents.
var retryCases = []struct {
	name     string
	schedule []occurrence
}{
	{"no disruption", nil},
	{"most gateways are killed", []occurrence{{25 * time.Second, killShare(0.6, 500*time.Millisecond)}}},
	{"most gateways are killed twice", []occurrence{
		{23 * time.Second, killShare(0.6, 500*time.Millisecond)}, {27 * time.Second, killShare(0.6, 500*time.Millisecond)},
	}},
	{"all gateways are killed", []occurrence{{25 * time.Second, killShare(1, time.Second)}}},
	{"all gateways are killed four times", []occurrence{
		{21 * time.Second, killShare(1, 500*time.Millisecond)}, {23 * time.Second, killShare(1, 500*time.Millisecond)},
		{25 * time.Second, killShare(1, 500*time.Millisecond)}, {27 * time.Second, killShare(1, 500*time.Millisecond)},
	}},
	{"half are killed and stay away", []occurrence{{25 * time.Second, killShare(0.5, time.Hour)}}},
	{"gateways are added, some killed", []occurrence{
		{23 * time.Second, addShare(0.75)}, {25 * time.Second, killShare(0.3, 500*time.Millisecond)},
	}},
	{"gateways are replaced", []occurrence{
		{22 * time.Second, replaceShare(0.2)}, {24 * time.Second, replaceShare(0.2)}, {26 * time.Second, replaceShare(0.2)},
	}},
	{"gateways stop in turn", []occurrence{
		{21 * time.Second, stopShare(0.25)}, {22 * time.Second, stopShare(0.25)}, {23 * time.Second, stopShare(0.25)},
		{24 * time.Second, stopShare(0.25)}, {25 * time.Second, stopShare(0.25)},
	}},
	{"the fleet is cut in two", []occurrence{{18 * time.Second, cutInto(2, 20*time.Second)}}},
	{"the fleet is cut in four, then killed", []occurrence{
		{15 * time.Second, cutInto(4, 20*time.Second)}, {23 * time.Second, killShare(0.6, 500*time.Millisecond)},
	}},
	{"a long cut with restarts on all sides", []occurrence{
		{6 * time.Second, cutInto(3, time.Hour)}, {9 * time.Second, killShare(1, 500*time.Millisecond)},
	}},
	{"gateways are suspended", []occurrence{
		{21 * time.Second, freezeShare(0.4)}, {24 * time.Second, freezeShare(0.4)}, {26 * time.Second, freezeShare(0.4)},
	}},
	{"callers move to other gateways", []occurrence{{23 * time.Second, shiftLoad}, {26 * time.Second, shiftLoad}}},
}

// TestRetriesStayInTheFleetsBudget guards against gateways that each keep to their own retry budget
// and exceed the fleet's together, such as when killed ones start anew.
func TestRetriesStayInTheFleetsBudget(t *testing.T) {
	for _, fleet := range simulatedFleets {
		for _, test := range retryCases {
			t.Run(fmt.Sprintf("%d of %d serve/%s", fleet.serving, fleet.gateways, test.name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					s := newSimulation(fleet, fleet.gateways, rand.New(rand.NewPCG(seed, 67)))
					schedule := append([]occurrence{{20 * time.Second, rejections(0.6)}}, test.schedule...)
					slices.SortStableFunc(schedule, func(a, b occurrence) int { return cmp.Compare(a.at, b.at) })
					play(s, schedule, 35*time.Second)
					over, from := s.excess()
					assert.LessOrEqual(t, over, 0.0, "seed %d: retries over the limit in the window from %s", seed, from)
				}
			})
		}
	}
}

// TestRetriesStayInTheFleetsBudgetInAnyOrderOfEvents does the same with drawn events.
func TestRetriesStayInTheFleetsBudgetInAnyOrderOfEvents(t *testing.T) {
	for _, fleet := range simulatedFleets {
		t.Run(fmt.Sprintf("%d of %d serve", fleet.serving, fleet.gateways), func(t *testing.T) {
			t.Parallel()
			seeds := uint64(40)
			if fleet.gateways > 100 {
				seeds = 6
			}
			if *fleetSeeds > 0 {
				seeds = *fleetSeeds
			}
			for seed := *fleetSeed; seed < *fleetSeed+seeds; seed++ {
				random := rand.New(rand.NewPCG(seed, 68))
				s := newSimulation(fleet, 2*fleet.gateways, random)
				play(s, drawSchedule(random), 45*time.Second)
				over, from := s.excess()
				assert.LessOrEqual(t, over, 0.0, "seed %d: retries over the limit in the window from %s", seed, from)
			}
		})
	}
}

// drawSchedule returns two series of rejections with events before, in and after them.
func drawSchedule(random *rand.Rand) []occurrence {
	events := []func(*simulation){
		killShare(random.Float64(), time.Duration(200+random.IntN(3000))*time.Millisecond), killShare(1, 400*time.Millisecond),
		killShare(0.6, time.Second), addShare(random.Float64()), replaceShare(0.3 * random.Float64()), stopShare(0.3),
		freezeShare(0.3), cutInto(2+random.IntN(3), time.Duration(2+random.IntN(8))*time.Second), shiftLoad,
	}
	schedule := []occurrence{}
	for at := 8 * time.Second; at < 40*time.Second; at += time.Duration(random.IntN(2500)) * time.Millisecond {
		schedule = append(schedule, occurrence{at, events[random.IntN(len(events))]})
		switch random.IntN(4) {
		case 0:
			schedule = append(schedule, occurrence{at, rejections(0.3 + 0.7*random.Float64())})
		case 1:
			schedule = append(schedule, occurrence{at, rejections(0)})
		}
	}
	return schedule
}

// TestBudgetOfAQuietFleetIsOfUse guards against budgets that keep to the limits by granting next to
// nothing: a fleet without disruptions gets most of what is allowed, from the first second on.
func TestBudgetOfAQuietFleetIsOfUse(t *testing.T) {
	for _, fleet := range simulatedFleets {
		t.Run(fmt.Sprintf("%d of %d serve", fleet.serving, fleet.gateways), func(t *testing.T) {
			s := newSimulation(fleet, 0, rand.New(rand.NewPCG(1, 69)))
			play(s, []occurrence{{20 * time.Second, rejections(0.6)}}, 30*time.Second)
			require.NotEmpty(t, s.retries)
			granted := float64(len(s.retries))
			earned := fleet.limits.Ratio * fleet.rate * fleet.limits.Window.Seconds()
			assert.GreaterOrEqual(t, granted, 0.85*earned, "retries in 10 s")
			t.Logf("%.0f granted, %.0f allowed, %d refused", granted, earned+fleet.limits.Slack, s.refused)
		})
	}
}

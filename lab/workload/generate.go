package workload

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Options configures a trace.
type Options struct {
	Seed uint64
	// Rate is the mean number of requests per second. Arrivals are a Poisson process.
	Rate     float64
	Duration time.Duration
	// From ShiftAt on, ShiftFraction of all long prompts use a new top-level prefix. A ShiftAt of 0
	// means that there is no shift.
	ShiftAt       time.Duration
	ShiftFraction float64
	// Between FloodFrom and FloodTo the first tenant sends additional batch requests at FloodRate
	// per second.
	FloodFrom, FloodTo time.Duration
	FloodRate          float64
}

// Generate returns the trace that the options describe. Equal options yield equal traces.
func Generate(description Fleet, options Options) Trace {
	g := newGenerator(description, options)
	requests := g.steadyRequests()
	requests = append(requests, g.floodRequests()...)
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].At < requests[j].At })
	for i := range requests {
		requests[i].ID = fleet.RequestID(fmt.Sprintf("r%06d", i))
	}
	return Trace{Fleet: description, Requests: requests, Duration: options.Duration}
}

type generator struct {
	fleet   Fleet
	options Options
	random  *rand.Rand
	top     *zipf
	middle  *zipf
	leaves  uint64
}

func newGenerator(description Fleet, options Options) *generator {
	random := rand.New(rand.NewPCG(options.Seed, uint64(len(description.Name))))
	return &generator{
		fleet:   description,
		options: options,
		random:  random,
		top:     newZipf(description.Traffic.Top),
		middle:  newZipf(description.Traffic.Middle),
	}
}

func (g *generator) steadyRequests() []Request {
	var requests []Request
	for at := g.drawInterval(g.options.Rate); at < g.options.Duration; at += g.drawInterval(g.options.Rate) {
		requests = append(requests, g.newRequest(at, g.drawKind(), g.drawTenant()))
	}
	return requests
}

func (g *generator) floodRequests() []Request {
	if g.options.FloodRate <= 0 {
		return nil
	}
	var requests []Request
	at := g.options.FloodFrom + g.drawInterval(g.options.FloodRate)
	for ; at < g.options.FloodTo; at += g.drawInterval(g.options.FloodRate) {
		requests = append(requests, g.newRequest(at, KindBatch, g.fleet.Tenants[0].Name))
	}
	return requests
}

// drawInterval returns an exponentially distributed time between arrivals.
func (g *generator) drawInterval(rate float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) drawKind() Kind {
	traffic := g.fleet.Traffic
	draw := g.random.Float64()
	switch {
	case draw < traffic.QuestionFraction:
		return KindQuestion
	case draw < traffic.QuestionFraction+traffic.LookupFraction:
		return KindLookup
	case draw < traffic.QuestionFraction+traffic.LookupFraction+traffic.BatchFraction:
		return KindBatch
	default:
		return KindDraft
	}
}

func (g *generator) drawTenant() fleet.TenantName {
	draw := g.random.Float64()
	for _, tenant := range g.fleet.Tenants {
		draw -= tenant.Share
		if draw < 0 {
			return tenant.Name
		}
	}
	return g.fleet.Tenants[len(g.fleet.Tenants)-1].Name
}

func (g *generator) newRequest(at time.Duration, kind Kind, tenant fleet.TenantName) Request {
	request := Request{
		At:           at,
		Kind:         kind,
		Tenant:       tenant,
		ModelVersion: g.fleet.ModelVersion,
		Zone:         g.fleet.Zones[g.random.IntN(len(g.fleet.Zones))],
	}
	traffic := g.fleet.Traffic
	switch kind {
	case KindLookup:
		request.Class, request.OutputTokens = ClassUrgent, g.drawLength(traffic.LookupOutput)
		request.NonRepeatable = g.random.Float64() < traffic.NonRepeatableFraction
		request.Segments = g.lookupSegments(tenant)
		return request
	case KindQuestion:
		request.Class, request.OutputTokens = ClassUrgent, g.drawLength(traffic.QuestionOutput)
	case KindBatch:
		request.Class, request.OutputTokens = ClassBatch, g.drawLength(traffic.BatchOutput)
	default:
		request.Class, request.OutputTokens = ClassStandard, g.drawLength(traffic.DraftOutput)
	}
	request.Segments = g.nestedSegments(at, tenant)
	return request
}

// drawLength returns a uniformly distributed length between half the mean and one and a half times
// the mean.
func (g *generator) drawLength(mean int) int {
	return max(1, mean/2+g.random.IntN(mean+1))
}

// lookupSegments returns a prompt whose first half is shared by all lookups of a tenant.
func (g *generator) lookupSegments(tenant fleet.TenantName) []Segment {
	half := g.fleet.Traffic.LookupTokens / 2
	return []Segment{
		{ID: segmentID(tenant, levelLookup, 0, 0), Tokens: half},
		{ID: g.nextLeafID(tenant), Tokens: half},
	}
}

func (g *generator) nestedSegments(at time.Duration, tenant fleet.TenantName) []Segment {
	traffic := g.fleet.Traffic
	top := uint64(g.top.draw(g.random))
	if g.isShifted(at) {
		top = uint64(traffic.Top.Variants)
	}
	middle := uint64(g.middle.draw(g.random))
	return []Segment{
		{ID: segmentID(tenant, levelTop, top, 0), Tokens: traffic.Top.Tokens},
		{ID: segmentID(tenant, levelMiddle, top, middle), Tokens: traffic.Middle.Tokens},
		{ID: g.nextLeafID(tenant), Tokens: max(1, g.drawLength(traffic.LeafTokens))},
	}
}

func (g *generator) isShifted(at time.Duration) bool {
	if g.options.ShiftAt == 0 || at < g.options.ShiftAt {
		return false
	}
	return g.random.Float64() < g.options.ShiftFraction
}

func (g *generator) nextLeafID(tenant fleet.TenantName) uint64 {
	g.leaves++
	return segmentID(tenant, levelLeaf, g.leaves, 0)
}

// Levels separate the identifiers of segments.
const (
	levelTop uint64 = iota + 1
	levelMiddle
	levelLeaf
	levelLookup
)

func segmentID(tenant fleet.TenantName, level, first, second uint64) uint64 {
	hash := uint64(14695981039346656037)
	for _, character := range []byte(tenant) {
		hash = hashValues(hash, uint64(character))
	}
	return hashValues(hash, level, first, second)
}

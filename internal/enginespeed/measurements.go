package enginespeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxMeasurements is the number of a run's latest measurements that a node keeps of each kind.
const maxMeasurements = 16

// measurements holds the latest ratios that this node has measured of a run.
type measurements struct {
	ratios [maxMeasurements]float32
	times  [maxMeasurements]time.Duration
	count  int
	next   int
}

// add adds a measurement in place of the oldest.
func (m *measurements) add(now time.Duration, ratio float64) {
	m.ratios[m.next], m.times[m.next] = float32(ratio), now
	m.next = (m.next + 1) % maxMeasurements
	m.count = min(m.count+1, maxMeasurements)
}

// appendTo appends the measurements with their weights at now.
func (m *measurements) appendTo(now time.Duration, into []weightedRatio) []weightedRatio {
	for index := range m.count {
		into = append(into, weightedRatio{ratio: float64(m.ratios[index]), weight: decayed(1, now-m.times[index])})
	}
	return into
}

// weightedRatio is a ratio with its weight in measurements.
type weightedRatio struct {
	ratio, weight float64
}

const (
	// lowQuantile and highQuantile are the shares of the weight that bound an estimate: it differs
	// from a usual ratio if 65% of the measurements agree, which rare moments of noise don't reach.
	lowQuantile  = 0.35
	highQuantile = 0.65
	// middleShare is the part of the weight around the middle whose mean is the median: with few
	// ratios, one of them doesn't decide alone.
	middleShare = 0.2
)

// estimate is what measurements tell of a ratio.
type estimate struct {
	// median is the weighted median, and low and high the quantiles below and above it. Their
	// distance shows how far the measurements agree.
	median, low, high float64
	// weight is the total weight of the measurements.
	weight float64
}

// estimateOf returns the estimate by weighted ratios, which it sorts. It is zero if they have too
// little weight.
func estimateOf(ratios []weightedRatio) estimate {
	slices.SortFunc(ratios, func(a, b weightedRatio) int { return cmp.Compare(a.ratio, b.ratio) })
	total := 0.0
	for _, entry := range ratios {
		total += entry.weight
	}
	if total < minWeight {
		return estimate{}
	}
	return estimate{
		median: middleMean(ratios, total), low: quantile(ratios, total*lowQuantile),
		high: quantile(ratios, total*highQuantile), weight: total,
	}
}

// quantile returns the first ratio at which the accumulated weight reaches a limit.
func quantile(ratios []weightedRatio, limit float64) float64 {
	before := 0.0
	for _, entry := range ratios {
		before += entry.weight
		if before >= limit {
			return entry.ratio
		}
	}
	return ratios[len(ratios)-1].ratio
}

// middleMean returns the geometric mean of the ratios around the middle.
func middleMean(ratios []weightedRatio, total float64) float64 {
	low, high := total*(1-middleShare)/2, total*(1+middleShare)/2
	sum, before := 0.0, 0.0
	for _, entry := range ratios {
		after := before + entry.weight
		if inside := min(after, high) - max(before, low); inside > 0 {
			sum += inside * math.Log(entry.ratio)
		}
		before = after
	}
	return math.Exp(sum / (high - low))
}

// medianOf returns the median of ratios that count the same, as estimateOf does. It reorders them,
// and is 0 if there are none.
func medianOf(ratios []float64) float64 {
	if len(ratios) == 0 {
		return 0
	}
	total := float64(len(ratios))
	low, high := total*(1-middleShare)/2, total*(1+middleShare)/2
	first, last := int(low), min(int(high), len(ratios)-1)
	moveToRank(ratios, first)
	moveToRank(ratios[first:], last-first)
	sum := 0.0
	for index := first; index <= last; index++ {
		inside := min(float64(index+1), high) - max(float64(index), low)
		sum += inside * math.Log(ratios[index])
	}
	return math.Exp(sum / (high - low))
}

// moveToRank reorders values so that the one of a rank is at its place, those before it are no
// larger and those after it no smaller. It takes linear time, unlike a sort.
func moveToRank(values []float64, rank int) {
	for low, high := 0, len(values)-1; low < high; {
		pivot, left, right := values[(low+high)/2], low, high
		for left <= right {
			for values[left] < pivot {
				left++
			}
			for values[right] > pivot {
				right--
			}
			if left <= right {
				values[left], values[right] = values[right], values[left]
				left, right = left+1, right-1
			}
		}
		switch {
		case rank <= right:
			high = right
		case rank >= left:
			low = left
		default:
			return
		}
	}
}

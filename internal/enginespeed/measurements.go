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

// median returns the weighted median of ratios and their total weight. It sorts them.
func median(ratios []weightedRatio) weightedRatio {
	slices.SortFunc(ratios, func(a, b weightedRatio) int { return cmp.Compare(a.ratio, b.ratio) })
	total := 0.0
	for _, entry := range ratios {
		total += entry.weight
	}
	if total < minWeight {
		return weightedRatio{}
	}
	// middleShare is the part of the weight around the middle whose mean is the median: with few
	// ratios, one of them doesn't decide alone.
	const middleShare = 0.2
	low, high := total*(1-middleShare)/2, total*(1+middleShare)/2
	sum, before := 0.0, 0.0
	for _, entry := range ratios {
		after := before + entry.weight
		if inside := min(after, high) - max(before, low); inside > 0 {
			sum += inside * math.Log(entry.ratio)
		}
		before = after
	}
	return weightedRatio{ratio: math.Exp(sum / (high - low)), weight: total}
}

package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// controlBudgetBytes is a node's budget for control traffic, in bytes per second.
const controlBudgetBytes = 13000

// measure returns the mean messages and bytes that a node sends per second, without the transport's
// overhead.
func (n *network) measure(duration time.Duration) (messages, bytes float64) {
	n.startCount()
	n.advance(duration)
	return n.stopCount(duration)
}

func (n *network) startCount() {
	n.counting = true
	for _, x := range n.all {
		x.sent, x.bytes = 0, 0
	}
}

func (n *network) stopCount(duration time.Duration) (messages, bytes float64) {
	n.counting = false
	for _, x := range n.all {
		messages += float64(x.sent)
		bytes += float64(x.bytes)
	}
	nodeSeconds := float64(len(n.running())) * duration.Seconds()
	return messages / nodeSeconds, bytes / nodeSeconds
}

func TestSteadyTrafficStaysUnderBudget(t *testing.T) {
	for _, count := range []int{50, 200, 680} {
		network := newNetwork(t, 31, fleetRegions)
		network.startConverged(count)
		network.advance(2 * time.Second)
		messages, bytes := network.measure(30 * time.Second)
		t.Logf("members=%d state=steady messages_per_node_second=%.2f bytes_per_node_second=%.0f", count, messages, bytes)
		assert.Less(t, bytes, float64(controlBudgetBytes)/4)
	}
}

// healRegion partitions one region, ends the partition, and returns the times until all nodes
// detected each, and the mean and worst bytes that a node sent while the membership converged.
func healRegion(network *network, count int) (detected, healed time.Duration, mean, worst int) {
	network.startConverged(count)
	network.clearSeeds()
	partitioned := network.all[0].core.Self().Region
	network.blocked = func(from, to Member) bool { return (from.Region == partitioned) != (to.Region == partitioned) }
	inside := (count + fleetRegions - 1) / fleetRegions
	detected = network.advanceUntil(10*time.Minute, func() bool {
		return len(network.all[0].core.Members()) == inside && len(network.all[1].core.Members()) == count-inside
	})
	network.advance(deadExchangeDuration)
	network.blocked = nil
	network.startCount()
	healed = network.advanceUntil(2*time.Minute, network.converged)
	for _, x := range network.all {
		worst, mean = max(worst, x.bytes), mean+x.bytes/count
	}
	return detected, healed, mean, worst
}

func TestRegionHealsWithinAMinute(t *testing.T) {
	const count = 120
	detected, healed, mean, worst := healRegion(newNetwork(t, 32, fleetRegions), count)
	t.Logf("members=%d partition detected after %s, healed after %s, bytes_per_node mean=%d worst=%d", count, detected, healed, mean, worst)
	assert.Less(t, healed, time.Minute)
}

// BenchmarkRegionHeal reports the cost of healing a partition of one region.
func BenchmarkRegionHeal(b *testing.B) {
	for _, count := range []int{50, 200, 680} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			for i := range b.N {
				detected, healed, mean, worst := healRegion(newNetwork(b, uint64(i), fleetRegions), count)
				b.ReportMetric(detected.Seconds(), "seen-s")
				b.ReportMetric(healed.Seconds(), "healed-s")
				b.ReportMetric(float64(mean), "mean-bytes/node")
				b.ReportMetric(float64(worst), "worst-bytes/node")
			}
		})
	}
}

// BenchmarkControl reports the control messages and bytes that a node sends per second, and the
// processor time that a second of one node's membership takes.
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{50, 200, 680} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			network := newNetwork(nil, 33, fleetRegions)
			network.startConverged(count)
			network.advance(time.Second)
			b.ResetTimer()
			messages, bytes := network.measure(time.Duration(b.N) * time.Second)
			b.ReportMetric(messages, "messages/node-s")
			b.ReportMetric(bytes, "bytes/node-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*count), "core-µs/node-s")
		})
	}
}

// BenchmarkCrash reports the time until all nodes have detected a crash, and until they have
// detected twenty simultaneous ones.
func BenchmarkCrash(b *testing.B) {
	for _, count := range []int{50, 200, 680} {
		for _, crashes := range []int{1, 20} {
			b.Run(fmt.Sprintf("members=%d/crashes=%d", count, crashes), func(b *testing.B) {
				var total, slowest time.Duration
				for i := range b.N {
					network := newNetwork(b, uint64(i), fleetRegions)
					network.startConverged(count)
					network.advance(3 * time.Second)
					for index := range crashes {
						network.all[index*2].down = true
					}
					took := network.advanceUntil(5*time.Minute, network.converged)
					total, slowest = total+took, max(slowest, took)
				}
				b.ReportMetric(total.Seconds()/float64(b.N), "mean-s")
				b.ReportMetric(slowest.Seconds(), "slowest-s")
			})
		}
	}
}

// BenchmarkChange reports the cost of one configuration change of 500 bytes beyond the steady
// traffic, and when the last member holds it.
func BenchmarkChange(b *testing.B) {
	const settle = 5 * time.Second
	for _, count := range []int{50, 200, 680} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			network := newNetwork(b, 34, fleetRegions)
			network.startConverged(count)
			network.advance(time.Second)
			steadyMessages, steadyBytes := network.measure(settle)
			var slowest time.Duration
			var messages, bytes float64
			for i := range b.N {
				network.startCount()
				network.publishChange(network.all[i%count], string(make([]byte, 500)))
				start := network.now
				slowest = max(slowest, network.advanceUntil(propagationLimit, network.allHold(i+1)))
				network.advance(settle - (network.now - start))
				m, v := network.stopCount(settle)
				messages, bytes = messages+(m-steadyMessages)*settle.Seconds(), bytes+(v-steadyBytes)*settle.Seconds()
			}
			b.ReportMetric(slowest.Seconds(), "slowest-s")
			b.ReportMetric(messages/float64(b.N), "messages/node")
			b.ReportMetric(bytes/float64(b.N), "bytes/node")
		})
	}
}

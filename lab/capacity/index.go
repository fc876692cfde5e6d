package capacity

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
)

const (
	// ownedEngines is the number of engines in the measured index: those that one router of the
	// target fleet owns with one index replica.
	ownedEngines = 15
	// eventBatch is the number of cache events in one measured batch.
	eventBatch = 64
)

func randomHashes(random *rand.Rand, count int) []fleet.BlockHash {
	hashes := make([]fleet.BlockHash, count)
	for i := range hashes {
		hashes[i] = fleet.BlockHash(random.Uint64())
	}
	return hashes
}

func engineRun(id fleet.EngineID) fleet.EngineRun { return fleet.EngineRun{Engine: id, Incarnation: 1} }

// filledIndex returns an index of distinct blocks, each cached by one engine.
func filledIndex(random *rand.Rand, blocks int) *prefixindex.Index {
	index := prefixindex.New(prefixindex.Options{MaxBlocks: 2 * blocks})
	const batch = 4096
	for done := 0; done < blocks; done += batch {
		run := engineRun(engineName(done / batch % ownedEngines))
		index.AddRun(run)
		index.Store(run, randomHashes(random, min(batch, blocks-done)))
	}
	return index
}

// eventSource generates events for the feed of one engine on a filled index.
type eventSource struct {
	random   *rand.Rand
	feed     *prefixindex.Feed
	sequence uint64
	pending  []fleet.BlockHash
}

func newEventSource(random *rand.Rand, blocks int) (*eventSource, error) {
	index := filledIndex(random, blocks)
	run := engineRun("measured")
	feed := prefixindex.NewFeed(index, run, prefixindex.FeedOptions{})
	if !feed.ApplySnapshot(0, engine.CacheSnapshot{Incarnation: run.Incarnation}) {
		return nil, errors.New("prefix index feed rejected an empty snapshot")
	}
	return &eventSource{random: random, feed: feed}, nil
}

// nextEvents returns events of one block each. Batches alternately store blocks and remove them
// again, so that the index keeps its size.
func (s *eventSource) nextEvents(count int) engine.CacheEvents {
	response := engine.CacheEvents{Incarnation: 1, Events: make([]engine.CacheEvent, count)}
	kind := engine.BlockRemoved
	hashes := s.pending
	s.pending = nil
	if len(hashes) < count {
		kind = engine.BlockStored
		hashes = randomHashes(s.random, count)
		s.pending = hashes
	}
	for i := range response.Events {
		s.sequence++
		response.Events[i] = engine.CacheEvent{Sequence: s.sequence, Kind: kind, Hashes: hashes[i : i+1]}
	}
	return response
}

// eventTime returns the processor time in microseconds to apply one event from responses of batch
// events each, including JSON decoding if decoded is set.
func eventTime(random *rand.Rand, blocks, batch int, decoded bool, atLeast time.Duration) (float64, error) {
	source, err := newEventSource(random, blocks)
	if err != nil {
		return 0, err
	}
	const prepared = 256
	var used time.Duration
	applied := 0
	for used < atLeast {
		responses := make([]engine.CacheEvents, prepared)
		bodies := make([][]byte, prepared)
		for i := range responses {
			responses[i] = source.nextEvents(batch)
			if bodies[i], err = json.Marshal(responses[i]); err != nil {
				return 0, err
			}
		}
		start := ProcessorTime()
		for i := range responses {
			response := responses[i]
			if decoded {
				response = engine.CacheEvents{}
				if err := json.Unmarshal(bodies[i], &response); err != nil {
					return 0, err
				}
			}
			source.feed.Apply(0, response)
		}
		used += ProcessorTime() - start
		applied += prepared * batch
	}
	if counts := source.feed.Counts(); counts.Gaps > 0 || counts.Applied != uint64(applied) {
		return 0, errors.Errorf("prefix index feed applied %d of %d events", counts.Applied, applied)
	}
	return microseconds(used) / float64(applied), nil
}

// measureIndex measures the memory of the prefix index and the processor time of its events.
func measureIndex(o Options) ([]Slope, error) {
	timing := func(batch int, decoded bool) func(int) (float64, error) {
		return func(blocks int) (float64, error) {
			return eventTime(rand.New(rand.NewPCG(o.Seed, 1)), blocks, batch, decoded, o.Sizes.ProcessorTime)
		}
	}
	event := func(name string, batch int, decoded bool) quantity {
		return quantity{
			name: name, size: "blocks in the index", unit: "core-µs/event", growth: GrowthLogarithmic,
			sizes: o.Sizes.IndexBlocks, measure: timing(batch, decoded),
		}
	}
	return sweepAll(
		quantity{
			name: "memory of the index", size: "blocks", unit: "B", growth: GrowthLinear, sizes: o.Sizes.IndexBlocks,
			measure: func(blocks int) (float64, error) {
				return memoryOf(func() (any, error) { return filledIndex(rand.New(rand.NewPCG(o.Seed, 1)), blocks), nil })
			},
		},
		event("cache event applied one by one", 1, false),
		event("cache event applied in batches of 64", eventBatch, false),
		event("cache event read and applied, batches of 64", eventBatch, true),
	)
}

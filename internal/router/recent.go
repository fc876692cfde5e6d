package router

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxRecentRequests bounds the requests whose blocks are remembered: at 2,000
// blocks each they take 4 MB.
const maxRecentRequests = 256

// recentRequests remembers the block hashes of the latest requests, so that
// operators can ask where the prefix of one lives. Its cache is safe for
// concurrent use.
type recentRequests struct {
	blocks *lru.Cache[fleet.RequestID, []fleet.BlockHash]
}

func newRecentRequests() *recentRequests {
	blocks, err := lru.New[fleet.RequestID, []fleet.BlockHash](maxRecentRequests)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return &recentRequests{blocks: blocks}
}

func (r *recentRequests) add(request fleet.RequestID, blocks []fleet.BlockHash) {
	r.blocks.Add(request, blocks)
}

func (r *recentRequests) lookup(request fleet.RequestID) ([]fleet.BlockHash, bool) {
	return r.blocks.Get(request)
}

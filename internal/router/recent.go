package router

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxRecentRequests limits the requests whose block hashes are kept. With 2,000 blocks each, they
// take 4 MB.
const maxRecentRequests = 256

// recentRequests keeps the block hashes of recent requests, so that operators can query which
// engines cache a request's prefix. It is safe for concurrent use.
type recentRequests struct {
	blocks *lru.Cache[fleet.RequestID, []fleet.BlockHash]
}

func newRecentRequests() *recentRequests {
	blocks, err := lru.New[fleet.RequestID, []fleet.BlockHash](maxRecentRequests)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &recentRequests{blocks: blocks}
}

func (r *recentRequests) add(request fleet.RequestID, blocks []fleet.BlockHash) {
	r.blocks.Add(request, blocks)
}

func (r *recentRequests) lookup(request fleet.RequestID) ([]fleet.BlockHash, bool) {
	return r.blocks.Get(request)
}

package scheduling

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRequestGoesWhereMemoryIsFree guards against placing requests on a warm engine whose memory is
// exhausted.
func TestRequestGoesWhereMemoryIsFree(t *testing.T) {
	warm, cold := testEndpoint(0), testEndpoint(1)
	warm.CachedBlocks = 60
	warm.MemoryTokens, cold.MemoryTokens = 10000, 10000
	warm.MemoryUsed, cold.MemoryUsed = 10000, 9000
	assert.Equal(t, 0, scheduleOne(t, DefaultOptions(), testRequest(), warm, cold).Index)
	warm.MemoryUsed = 15000
	assert.Equal(t, 1, scheduleOne(t, DefaultOptions(), testRequest(), warm, cold).Index)
	warm.MemoryTokens = 0
	assert.Equal(t, 0, scheduleOne(t, DefaultOptions(), testRequest(), warm, cold).Index, "unknown memory capacity")
}

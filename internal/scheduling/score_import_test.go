package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// partRequest returns a request with three prompt parts.
func partRequest() Request {
	request := testRequest()
	request.BlockTokens = 0
	request.PartTokens = []int{500, 900, 1024}
	return request
}

func TestPartTokensDetermineCachedTokens(t *testing.T) {
	request, endpoint := partRequest(), testEndpoint(1)
	for parts, want := range []int{0, 500, 900, 1023, 1023} {
		endpoint.CachedBlocks = parts
		assert.Equal(t, want, cachedTokens(&request, &endpoint), "%d parts", parts)
	}
}

func TestImportIsChosenOnlyIfFasterThanPrefill(t *testing.T) {
	request, endpoint := partRequest(), testEndpoint(1)
	endpoint.CachedBlocks, endpoint.ImportBlocks = 1, 2
	endpoint.ImportPerToken, endpoint.ImportSetup = 10*time.Microsecond, time.Millisecond
	tokens, took := importTime(&request, &endpoint, 500)
	assert.Equal(t, 400, tokens)
	assert.Equal(t, 5*time.Millisecond, took)
	endpoint.ImportPerToken = 100 * time.Microsecond
	tokens, _ = importTime(&request, &endpoint, 500)
	assert.Zero(t, tokens, "computing 400 tokens takes 40 ms, importing 41 ms")
	tokens, _ = importTime(&request, &endpoint, 900)
	assert.Zero(t, tokens, "no holder has more than the engine")
}

// TestIdleEngineImportsPrefixFromBusyHolder guards against requests queueing at a busy holder when
// importing the prefix elsewhere is faster.
func TestIdleEngineImportsPrefixFromBusyHolder(t *testing.T) {
	holder, idle := testEndpoint(0), testEndpoint(1)
	holder.CachedBlocks, holder.PrefillTokens = 2, 600
	request := partRequest()
	request.PromptTokens = 1024
	decision := scheduleOne(t, DefaultOptions(), request, holder, idle)
	assert.Equal(t, 0, decision.Index, "without an import the cached prefix outweighs the queue")
	idle.ImportBlocks, idle.ImportPerToken = 2, time.Microsecond
	decision = scheduleOne(t, DefaultOptions(), request, holder, idle)
	assert.Equal(t, 1, decision.Index)
	assert.Equal(t, 900, decision.ImportedTokens)
}

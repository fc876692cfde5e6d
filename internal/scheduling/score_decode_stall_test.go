package scheduling

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLongPromptGoesWhereItStallsFewestStreams guards against long prompts being placed where they
// pause many decoding streams.
func TestLongPromptGoesWhereItStallsFewestStreams(t *testing.T) {
	busy, quiet := testEndpoint(0), testEndpoint(1)
	busy.DecodingStreams, busy.StepsPerEvent = 5, 4
	quiet.DecodingStreams, quiet.StepsPerEvent = 1, 4
	quiet.PrefillTokens = 100
	request := testRequest()
	options := DefaultOptions()
	options.TieFraction = 0
	request.PromptTokens = 3 * 512
	assert.Equal(t, 0, scheduleOne(t, options, request, busy, quiet).Index, "the prompt fills three of four steps")
	request.PromptTokens++
	assert.Equal(t, 1, scheduleOne(t, options, request, busy, quiet).Index)
	busy.StepsPerEvent, quiet.StepsPerEvent = 0, 0
	assert.Equal(t, 0, scheduleOne(t, options, request, busy, quiet).Index, "no decode stall cost without steps per event")
}

package logging

import (
	"bytes"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
)

func TestLineHoldsPairsInOrder(t *testing.T) {
	var output bytes.Buffer
	logger := New(&output, "agent", "agent-1-0a", "info")
	logger.Warn().
		Str("request_id", "r1").
		Str("text", "two\nlines \"quoted\"").
		Str("empty", "").
		Str("equation", "a=b").
		Strs("list", []string{"x", "y z"}).
		Int("attempt", 2).
		Err(errors.New("connection reset")).
		Msg("dispatch_failed")
	line := regexp.MustCompile(`^time=\S+Z `).ReplaceAllString(output.String(), "")
	assert.Equal(t, `level=warn component=agent node=agent-1-0a event=dispatch_failed error="connection reset"`+
		` attempt=2 empty="" equation="a=b" list="[\"x\",\"y z\"]" request_id=r1 text="two\nlines \"quoted\""`+"\n", line)
}

func TestLevelFiltersEvents(t *testing.T) {
	for level, lines := range map[string]int{"debug": 2, "info": 1, "error": 0, "nonsense": 1, "": 1} {
		var output bytes.Buffer
		logger := New(&output, "router", "n", level)
		logger.Debug().Msg("fine")
		logger.Info().Msg("coarse")
		assert.Equal(t, lines, strings.Count(output.String(), "\n"), level)
	}
}

func TestConcurrentEventsAreNotInterleaved(t *testing.T) {
	var output bytes.Buffer
	logger := New(&output, "router", "n", "info")
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 50 {
				logger.Info().Str("key", "value").Msg("tick")
			}
		})
	}
	group.Wait()
	lines := strings.Split(strings.TrimSuffix(output.String(), "\n"), "\n")
	assert.Len(t, lines, 400)
	for _, line := range lines {
		assert.Regexp(t, `^time=\S+ level=info component=router node=n event=tick key=value$`, line)
	}
}

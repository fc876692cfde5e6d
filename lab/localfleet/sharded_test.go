package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// startSharded runs six engines and three routers, with one owning router per engine. An engine
// computes a prompt of 500 tokens in one second.
func startSharded(t *testing.T) *Fleet {
	t.Helper()
	source, err := os.ReadFile("../../examples/config.yaml")
	require.NoError(t, err)
	document, problems := config.Parse(source)
	require.NoError(t, problems.Err())
	for position := range document.Classes {
		document.Classes[position].MaxWait = config.Duration(time.Minute)
	}
	costs := enginemodel.DefaultCosts()
	costs.PrefillPerToken = 2 * time.Millisecond
	costs.StepTokens = 64
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	running, err := Start(ctx, Options{
		Document: *document, Routers: 3, Engines: 6, IndexReplicas: 1,
		AgentAddress: loopback, Costs: costs, Logger: zerolog.Nop(),
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, running.Stop()) })
	waitForOwnership(t, running)
	return running
}

// waitForOwnership waits until the engines have loaded all weights, and the routers have divided
// the engines among themselves and received their status.
func waitForOwnership(t *testing.T, running *Fleet) {
	t.Helper()
	const weightCount = 3 // two models and an adapter
	require.Eventually(t, func() bool {
		for index := range running.engines {
			if status := running.EngineStatus(index); len(status.Loaded) < weightCount {
				return false
			}
		}
		owned, ready := 0.0, 0.0
		for _, instance := range running.routers {
			owned += sumMetric(t, instance.Address(), "tillerfall_router_owned_engines{.*}")
			ready += sumMetric(t, instance.Address(), `tillerfall_router_owned_engines{condition="ready"}`)
		}
		return int(owned) == running.options.Engines && owned == ready
	}, 30*time.Second, readyInterval)
}

// sendCompletion sends a prompt and returns the number of cached tokens in the answer.
func sendCompletion(running *Fleet, prompt string) (int, error) {
	body, err := json.Marshal(map[string]any{"model": "sahayak-llm", "prompt": prompt, "max_tokens": 2})
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+string(running.AgentAddress())+openai.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer example-key-counter")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, answer)
	}
	var decoded struct {
		Usage struct {
			Details struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err == nil {
		err = json.Unmarshal(answer, &decoded)
	}
	return decoded.Usage.Details.CachedTokens, err
}

// sumMetric sums the samples of a process's metrics that match a pattern.
func sumMetric(t *testing.T, address fleet.Address, pattern string) float64 {
	t.Helper()
	response, err := http.Get("http://" + string(address) + agent.PathMetrics)
	require.NoError(t, err)
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	total := 0.0
	for _, match := range regexp.MustCompile("(?m)^"+pattern+" (\\S+)$").FindAllStringSubmatch(string(page), -1) {
		value, err := strconv.ParseFloat(match[1], 64)
		require.NoError(t, err)
		total += value
	}
	return total
}

// grantsByRouter returns the number of requests that each router has granted.
func grantsByRouter(t *testing.T, running *Fleet) []float64 {
	t.Helper()
	var placed []float64
	for _, instance := range running.routers {
		placed = append(placed, sumMetric(t, instance.Address(), `tillerfall_router_outcomes_total{[^}]*outcome="granted"[^}]*}`))
	}
	return placed
}

// TestRepeatedPrefixIsPlacedByOwningRouter guards against repeated prompts that reach a router that
// does not own the engine with the cached prefix.
func TestRepeatedPrefixIsPlacedByOwningRouter(t *testing.T) {
	running := startSharded(t)
	circular := strings.Repeat("circular ", 150)
	ask := func(number int) int {
		cached, err := sendCompletion(running, fmt.Sprintf("%s question %d", circular, number))
		require.NoError(t, err)
		return cached
	}
	// The ranking of routers in the agent changes until it has discovered all of them.
	const settled = 3
	found, asked := 0, 0
	var before []float64
	for deadline := time.Now().Add(30 * time.Second); found < settled && time.Now().Before(deadline); asked++ {
		if found == 0 {
			before = grantsByRouter(t, running)
		}
		if ask(asked) > 0 {
			found++
		} else {
			found = 0
		}
	}
	require.Equal(t, settled, found, "a computed prefix is found again")
	granting := 0
	for position, after := range grantsByRouter(t, running) {
		if after > before[position] {
			granting++
		}
	}
	assert.Equal(t, 1, granting)
}

// TestSaturatedRouterSpills guards against prompts with a common prefix that all wait at the
// saturated owner of its engine.
func TestSaturatedRouterSpills(t *testing.T) {
	running := startSharded(t)
	beginning := strings.Repeat("beginning ", 110)
	var group sync.WaitGroup
	for number := range 20 {
		group.Go(func() {
			_, err := sendCompletion(running, beginning+strings.Repeat(fmt.Sprintf("board %02d ", number), 100))
			assert.NoError(t, err)
		})
	}
	group.Wait()
	assert.Positive(t, sumMetric(t, running.AgentAddress(), "tillerfall_agent_spills_total"))
	granting := 0
	for _, placed := range grantsByRouter(t, running) {
		if placed > 0 {
			granting++
		}
	}
	assert.Greater(t, granting, 1)
}

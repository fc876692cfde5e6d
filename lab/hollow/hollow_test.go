package hollow

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
)

// TestHollowRoutersFollowARealOne checks that commands at a real router reach
// every hollow router, and that crashed ones vanish from all lists, the real
// router's included. It gives no verdict on times.
func TestHollowRoutersFollowARealOne(t *testing.T) {
	source, err := os.ReadFile("../../examples/config.yaml")
	require.NoError(t, err)
	document, problems := config.Parse(source)
	require.NoError(t, problems.Err())

	figures, err := Run(t.Context(), Options{
		Routers: 8, Kills: 2, Changes: 2, Steady: 100 * time.Millisecond, Document: *document, Seed: 1,
	})
	require.NoError(t, err)
	var names []string
	for _, figure := range figures {
		names = append(names, figure.Name)
	}
	assert.Contains(t, strings.Join(names, "\n"), "2 hollow routers crash")
}

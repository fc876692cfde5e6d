package backends

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSharedPartIsCountedOnce(t *testing.T) {
	var use memoryUse
	need := memoryNeed{prefix: 7, sharedTokens: 100, ownTokens: 30}
	assert.Equal(t, 130, use.tokensWith(need))
	use.add(need)
	assert.Equal(t, 130, use.tokens())
	assert.Equal(t, 160, use.tokensWith(need))
	use.add(need)
	use.add(memoryNeed{ownTokens: 5})
	assert.Equal(t, 165, use.tokens())
	use.remove(need)
	assert.Equal(t, 135, use.tokens())
	use.remove(need)
	use.remove(memoryNeed{ownTokens: 5})
	assert.Zero(t, use.tokens())
	assert.Empty(t, use.shared)
}

package bodymemory

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func soon(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// TestUrgentBodiesAreReadFirst guards against urgent requests that wait behind others for memory.
func TestUrgentBodiesAreReadFirst(t *testing.T) {
	budget := New(10)
	require.NoError(t, budget.Acquire(context.Background(), 10, 0))
	order := make(chan int, 3)
	for _, priority := range []int{2, 1, 0} {
		before := len(budget.waiting)
		go func() {
			if budget.Acquire(context.Background(), 10, priority) == nil {
				order <- priority
				budget.Release(10)
			}
		}()
		require.Eventually(t, func() bool {
			budget.mutex.Lock()
			defer budget.mutex.Unlock()
			return len(budget.waiting) > before
		}, time.Second, time.Millisecond)
	}
	budget.Release(10)
	assert.Equal(t, []int{0, 1, 2}, []int{<-order, <-order, <-order})
}

// TestAbandonedBodyBlocksNobody guards against a large body that leaves the queue and still holds up the
// small ones behind it, or keeps its bytes.
func TestAbandonedBodyBlocksNobody(t *testing.T) {
	budget := New(10)
	require.NoError(t, budget.Acquire(context.Background(), 6, 0))
	result := make(chan error, 1)
	go func() { result <- budget.Acquire(soon(t), 8, 0) }()
	require.ErrorIs(t, <-result, ErrNoMemory)
	assert.True(t, budget.TryAcquire(4))
	assert.False(t, budget.TryAcquire(1))
	budget.Release(10)
	assert.Zero(t, budget.Used())
}

// TestBodyOverTheLimitIsReadAlone guards against a body that no amount of waiting lets in.
func TestBodyOverTheLimitIsReadAlone(t *testing.T) {
	budget := New(10)
	require.NoError(t, budget.Acquire(soon(t), 50, 0))
	require.ErrorIs(t, budget.Acquire(soon(t), 1, 0), ErrNoMemory)
	budget.Release(50)
	require.NoError(t, budget.Acquire(soon(t), 1, 0))
}

// TestBudgetIsNeverExceeded guards against bodies that together take more than the limit, and against
// bytes that are lost, whatever waits, leaves and ends at the same time.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const limit = 100
	budget := New(limit)
	var group sync.WaitGroup
	for seed := range uint64(16) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 300 {
				bytes := 1 + random.Int64N(60)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(300))*time.Microsecond)
				if budget.Acquire(ctx, bytes, random.IntN(3)) == nil {
					assert.LessOrEqual(t, budget.Used(), int64(limit))
					budget.Release(bytes)
				}
				cancel()
			}
		})
	}
	group.Wait()
	assert.Zero(t, budget.Used())
	assert.Empty(t, budget.waiting)
}

package delivery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// writtenAgain returns the order as it is written again in the next epoch of the store.
func writtenAgain(order Order) Order {
	order.Revision = (order.Revision.Epoch() + 1).Revision(order.Revision.Number() - 2)
	return order
}

// An order that is written again after the store was restored must not begin anew.
func TestOrderWrittenAgainContinues(t *testing.T) {
	director := newTestDelivery(t)
	write := rejectTarget(t, director)
	director.HandleWriteResult(time.Second, simService, *write, nil, nil)
	again := writtenAgain(testOrder())
	require.NoError(t, director.SetOrder(2*time.Second, 2*time.Second, again))
	directive := director.Evaluate(2*time.Second, testObservation(4, 4)).Directive
	require.NotNil(t, directive)
	assert.Equal(t, StageRolledBack, directive.Stage)
	assert.Equal(t, again.Revision, directive.Revision)
	other := again
	other.Target, other.Revision = "v9", again.Revision+1
	require.NoError(t, director.SetOrder(3*time.Second, 3*time.Second, other))
	assert.Equal(t, StageCanary, director.Evaluate(3*time.Second, testObservation(4, 4)).Directive.Stage, "another target is a new order")
}

// A follower keeps the outcome of an order that is written again, whichever of the row and the
// directive comes first, and takes directives of a release that doesn't know of epochs.
func TestFollowerKeepsOutcomeOfOrderWrittenAgain(t *testing.T) {
	order, again := testOrder(), writtenAgain(testOrder())
	final := Directive{Service: simService, Target: order.Target, Revision: order.Revision, Sequence: 5, Stage: StageRolledBack, Rejected: []fleet.SoftwareVersion{order.Target}}
	running := Directive{Service: simService, Target: order.Target, Revision: again.Revision, Sequence: 9, Stage: StageCanary, DefaultShare: 1}
	follower := NewFollower(Options{})
	_, err := follower.SetOrder(0, order)
	require.NoError(t, err)
	require.True(t, follower.ApplyDirective(0, final))
	isNew, err := follower.SetOrder(0, again)
	require.NoError(t, err)
	assert.False(t, isNew)
	assert.False(t, follower.ApplyDirective(0, running), "a final directive is never replaced")
	assert.Equal(t, StageRolledBack, follower.Directives(0)[0].Stage)
	assert.Equal(t, again.Revision, follower.Directives(0)[0].Revision)

	late := NewFollower(Options{})
	_, err = late.SetOrder(0, again)
	require.NoError(t, err)
	assert.True(t, late.ApplyDirective(0, final), "of the former epoch")
	assert.Equal(t, StageRolledBack, late.Directives(0)[0].Stage)
}

// A director without the record writes the known outcome again, over a record of the copy.
func TestKnownOutcomeIsWrittenAgain(t *testing.T) {
	for _, stage := range []Stage{StageCompleted, StageRolledBack} {
		director := newTestDelivery(t)
		order := testOrder()
		outcome := Directive{Service: simService, Target: order.Target, Revision: order.Revision, Stage: stage}
		director.Conclude(0, outcome)
		decision := director.Evaluate(0, testObservation(4, 4))
		require.NotNil(t, decision.Write)
		assert.Nil(t, decision.Directive, "not stored yet")
		assert.Equal(t, stage, decision.Write.Stage)
		assert.Equal(t, stage == StageRolledBack, len(decision.Write.Rejected) == 1)
		running := Record{Order: order, Stage: StageCanary}
		director.HandleWriteResult(0, simService, *decision.Write, &running, errStoreDown)
		again := director.Evaluate(writeRetryInterval, testObservation(4, 4)).Write
		require.NotNil(t, again, "the copy holds an earlier record")
		director.HandleWriteResult(writeRetryInterval, simService, *again, nil, nil)
		decision = director.Evaluate(time.Second, testObservation(4, 4))
		assert.Nil(t, decision.Write)
		require.NotNil(t, decision.Directive)
		assert.Equal(t, stage, decision.Directive.Stage)
	}
}

package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

func newTestStore(tables *fakeTables, options StoreOptions) *Store {
	options.Random = rand.New(rand.NewPCG(1, 2))
	options.Sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return NewStore(tables, tables, options)
}

// drainOnce returns a command that adds one directive each time it is applied.
func drainOnce(token string, expected fleet.Revision) CommitRequest {
	return CommitRequest{
		Token:            token,
		ExpectedRevision: expected,
		Statement:        "drain " + token,
		Mutate: func(document Document) (Document, error) {
			if len(document.Pools) == 0 {
				document = validDocument(document.Revision)
			}
			document.Directives = append(document.Directives, Directive{Engine: fleet.EngineID(token), Kind: DirectiveDrain,
				Incarnation: fleet.Incarnation(len(document.Directives))})
			return document, nil
		},
	}
}

func countEffects(document Document, token string) int {
	count := 0
	for _, directive := range document.Directives {
		if string(directive.Engine) == token {
			count++
		}
	}
	return count
}

// TestEveryTokenHasOneOutcome guards against commands that are applied twice or have contradictory
// outcomes, with concurrent operators and a table service that loses responses or delays effects.
func TestEveryTokenHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		tables := newFakeTables()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		faultRate := rapid.Float64Range(0, 0.6).Draw(t, "fault rate")
		limit := rapid.SampledFrom([]int{1, 1 << 20}).Draw(t, "document row limit")
		store := newTestStore(tables, StoreOptions{DocumentRowLimit: limit, CommitAttempts: 5})
		results := make(map[string][]Outcome)
		uncertain := make(map[string]bool)
		running := make(map[string]int)
		run := func(request CommitRequest) {
			running[request.Token]++
			defer func() { running[request.Token]-- }()
			outcome, err := store.Commit(ctx, request)
			var coded *resultcode.Error
			switch {
			case err == nil:
				results[request.Token] = append(results[request.Token], outcome)
			case errors.As(err, &coded) && coded.Code == resultcode.CommandUncertain:
				uncertain[request.Token] = true
			default:
				require.ErrorAs(t, err, &coded)
				require.NotEqual(t, resultcode.Internal, coded.Code, err)
				tables.deliverDelayed()
				_, found := tables.rows[commandKey(request.Token)]
				byOtherCall := running[request.Token] > 1 || len(results[request.Token]) > 0 || uncertain[request.Token]
				require.False(t, found && !byOtherCall, "%s took effect despite error %v", request.Token, err)
			}
		}
		tables.nextFault = func() fault {
			if random.Float64() >= faultRate {
				return faultNone
			}
			return fault(1 + random.IntN(int(faultKinds)-1))
		}
		tables.deliversDelayed = func() bool { return random.IntN(6) == 0 }
		depth := 0
		tokens := 0
		tables.interrupt = func() {
			if depth >= 2 || tokens >= 12 || random.Float64() >= 0.15 {
				return
			}
			depth++
			tokens++
			expected := fleet.Revision(random.IntN(len(tables.revisions) + 1))
			run(drainOnce(fmt.Sprintf("token%d", random.IntN(8)), expected))
			depth--
		}
		for range rapid.IntRange(1, 8).Draw(t, "commands") {
			run(drainOnce(fmt.Sprintf("token%d", random.IntN(4)), 0))
		}
		tables.interrupt = func() {}
		tables.nextFault = func() fault { return faultNone }
		tables.deliverDelayed()
		checkOutcomes(t, store, results, uncertain)
		for index, revision := range tables.revisions {
			require.Equal(t, fleet.Revision(index+1), revision)
		}
	})
}

func checkOutcomes(t *rapid.T, store *Store, results map[string][]Outcome, uncertain map[string]bool) {
	ctx := context.Background()
	document, err := store.Load(ctx)
	require.NoError(t, err)
	for token, outcomes := range results {
		recorded, found, err := store.Lookup(ctx, token)
		require.NoError(t, err)
		require.True(t, found)
		for _, outcome := range outcomes {
			require.Equal(t, recorded, outcome)
		}
		uncertain[token] = true
	}
	for token := range uncertain {
		recorded, found, err := store.Lookup(ctx, token)
		require.NoError(t, err)
		want := 0
		if found && recorded.Code == resultcode.OK {
			want = 1
		}
		require.Equal(t, want, countEffects(document, token), token)
	}
}

func commitAll(t *testing.T, store *Store, count int) {
	for index := range count {
		outcome, err := store.Commit(context.Background(), drainOnce(fmt.Sprintf("t%03d", index), 0))
		require.NoError(t, err)
		require.Equal(t, resultcode.OK, outcome.Code)
	}
}

func TestCommitRecordsRefusals(t *testing.T) {
	ctx := context.Background()
	store := newTestStore(newFakeTables(), StoreOptions{})
	commitAll(t, store, 2)
	impossible := errors.New("no")
	refusals := map[resultcode.Code]CommitRequest{
		resultcode.RevisionConflict:  drainOnce("conflict", 1),
		resultcode.CommandImpossible: {Token: "no", Mutate: func(d Document) (Document, error) { return d, impossible }},
		resultcode.TargetNotFound: {Token: "gone", Mutate: func(d Document) (Document, error) {
			return d, resultcode.New(resultcode.TargetNotFound, "no engine")
		}},
		resultcode.ConfigInvalid: {Token: "invalid", Mutate: func(d Document) (Document, error) {
			d.Pools = nil
			return d, nil
		}},
	}
	for code, request := range refusals {
		outcome, err := store.Commit(ctx, request)
		require.NoError(t, err)
		assert.Equal(t, code, outcome.Code, outcome.Message)
		assert.Equal(t, fleet.Revision(2), outcome.Revision)
		request.Mutate = func(d Document) (Document, error) { return validDocument(d.Revision, "late"), nil }
		again, err := store.Commit(ctx, request)
		require.NoError(t, err)
		assert.Equal(t, outcome, again)
	}
	_, err := store.Commit(ctx, drainOnce("a/b", 0))
	assert.ErrorContains(t, err, "token")
}

func TestCommitWithoutChangeKeepsRevision(t *testing.T) {
	store := newTestStore(newFakeTables(), StoreOptions{})
	commitAll(t, store, 1)
	unchanged := func(d Document) (Document, error) { return d, nil }
	outcome, err := store.Commit(context.Background(), CommitRequest{Token: "same", Mutate: unchanged})
	require.NoError(t, err)
	assert.Equal(t, resultcode.OK, outcome.Code)
	assert.Equal(t, fleet.Revision(1), outcome.Revision)
}

func TestCommitIsUncertainWhileItMayTakeEffect(t *testing.T) {
	tables := newFakeTables()
	store := newTestStore(tables, StoreOptions{})
	commits := 0
	tables.nextFault = func() fault {
		commits++
		if commits == 3 { // document, token, commit
			return faultDelayed
		}
		if commits > 3 {
			tables.interrupt = func() {}
			return faultUnavailable
		}
		return faultNone
	}
	_, err := store.Commit(context.Background(), drainOnce("late", 0))
	var coded *resultcode.Error
	require.ErrorAs(t, err, &coded)
	assert.Equal(t, resultcode.CommandUncertain, coded.Code)
	tables.nextFault = func() fault { return faultNone }
	outcome, found, err := store.Lookup(context.Background(), "late")
	require.NoError(t, err)
	require.True(t, found)
	assert.Equal(t, resultcode.OK, outcome.Code)
}

func TestCommitReportsPlatformDown(t *testing.T) {
	tables := newFakeTables()
	tables.nextFault = func() fault { return faultUnavailable }
	store := newTestStore(tables, StoreOptions{CommitAttempts: 3})
	_, err := store.Commit(context.Background(), drainOnce("x", 0))
	var coded *resultcode.Error
	require.ErrorAs(t, err, &coded)
	assert.Equal(t, resultcode.PlatformUnavailable, coded.Code)
	assert.Equal(t, 3, tables.calls)
}

func TestCommitPrunesOldRows(t *testing.T) {
	tables := newFakeTables()
	store := newTestStore(tables, StoreOptions{KeptChanges: 8, KeptOutcomes: 20})
	commitAll(t, store, 100)
	count := map[string]int{}
	for key := range tables.rows {
		count[key[:strings.LastIndex(key, "/")+1]]++
	}
	assert.Equal(t, 8, count[prefixChange])
	assert.LessOrEqual(t, count[prefixCommand], 20+sweepInterval)
	_, err := store.LoadChanges(context.Background(), 50)
	assert.ErrorIs(t, err, ErrRevisionGap)
}

func TestRefreshMinimizesTableCalls(t *testing.T) {
	tables := newFakeTables()
	store := newTestStore(tables, StoreOptions{KeptChanges: 8})
	holder := NewHolder()
	steps := []struct{ commits, calls int }{
		{1, 2},  // no configuration: head, document
		{0, 1},  // current: head
		{1, 1},  // one revision behind: head with its change
		{5, 2},  // several revisions behind: head, changes
		{20, 3}, // changes no longer retained: head, changes, document
	}
	committed := 0
	for _, step := range steps {
		for range step.commits {
			committed++
			_, err := store.Commit(context.Background(), drainOnce(fmt.Sprintf("r%d", committed), 0))
			require.NoError(t, err)
		}
		tables.calls = 0
		_, err := store.Refresh(context.Background(), holder)
		require.NoError(t, err)
		assert.Equal(t, step.calls, tables.calls)
		assert.Equal(t, fleet.Revision(committed), holder.Revision())
	}
	tables.nextFault = func() fault { return faultUnavailable }
	_, err := store.Refresh(context.Background(), holder)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

// TestConcurrentCommitsOfOneTokenGetSameOutcome guards against a second outcome if the same command
// is refused for another sender after this one has found the token unused.
func TestConcurrentCommitsOfOneTokenGetSameOutcome(t *testing.T) {
	tables := newFakeTables()
	store := newTestStore(tables, StoreOptions{})
	commitAll(t, store, 2)
	tables.calls = 0
	var refused Outcome
	tables.interrupt = func() {
		if tables.calls != 3 { // document, token, commit
			return
		}
		tables.interrupt = func() {}
		var err error
		refused, err = store.Commit(context.Background(), drainOnce("twice", 1))
		require.NoError(t, err)
	}
	outcome, err := store.Commit(context.Background(), drainOnce("twice", 0))
	require.NoError(t, err)
	assert.Equal(t, resultcode.RevisionConflict, refused.Code)
	assert.Equal(t, refused, outcome)
}

// largePageTables has pages of rows that are too large to read.
type largePageTables struct{ platform.Tables }

func (t largePageTables) List(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errors.Join(platform.ErrUnavailable, platform.ErrTooLarge)
}

// TestChangesTooLargeForAPageAreAGap guards against a process that never takes over a configuration again, since
// what has changed is too large for one answer.
func TestChangesTooLargeForAPageAreAGap(t *testing.T) {
	store := NewStore(largePageTables{newFakeTables()}, nil, StoreOptions{})
	_, err := store.LoadChanges(context.Background(), 1)
	assert.ErrorIs(t, err, ErrRevisionGap)
}

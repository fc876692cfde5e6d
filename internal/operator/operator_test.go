package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prompt"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// stubSource is a Source with the fixed state of a small fleet.
type stubSource struct {
	document      config.Document
	queriedHashes []fleet.BlockHash
}

func (s *stubSource) Configuration() (config.Document, bool) { return s.document, true }
func (s *stubSource) Engines() []Engine {
	return []Engine{
		{Run: fleet.EngineRun{Engine: "e1", Incarnation: 4}, State: "ready", Role: "serve",
			Loaded: []fleet.ModelVersion{{Model: "m", Version: "v1"}}},
		{Run: fleet.EngineRun{Engine: "e2", Incarnation: 7}, State: "leaving", LeavingBy: "operator", Owned: true, Role: "serve"},
	}
}
func (s *stubSource) Routers() []Router { return []Router{{Node: "r1", State: "alive"}} }
func (s *stubSource) Waiting() []Waiting {
	return []Waiting{{Request: "q1", Attempt: 1, Tenant: "t", Class: "counter"}, {Request: "q2", Tenant: "u", Class: "batch"}}
}
func (s *stubSource) Holders(hashes []fleet.BlockHash) []Holder {
	s.queriedHashes = hashes
	return []Holder{{Run: fleet.EngineRun{Engine: "e1", Incarnation: 4}, Blocks: 1}}
}
func (s *stubSource) RequestBlocks(request fleet.RequestID) ([]fleet.BlockHash, bool) {
	return []fleet.BlockHash{1, 2}, request == "q1"
}
func (s *stubSource) Explain(request fleet.RequestID) (Explanation, bool) {
	candidates := []Candidate{{Run: fleet.EngineRun{Engine: "e1"}, Chosen: true}, {Rejected: "leaving"}}
	return Explanation{Outcome: "granted", Candidates: candidates}, request == "q1"
}
func (s *stubSource) Version() string { return "test" }

// stubStore applies commands to one document in memory.
type stubStore struct {
	document config.Document
	failure  error
	outcomes map[string]Outcome
	// deduplicates makes Commit return the recorded outcome for a token that was used before.
	deduplicates bool
}

func (s *stubStore) Commit(_ context.Context, change Change) (Outcome, error) {
	if s.failure != nil {
		return Outcome{}, s.failure
	}
	if change.ExpectedRevision != 0 && change.ExpectedRevision != s.document.Revision {
		return Outcome{}, resultcode.New(resultcode.RevisionConflict, "changed")
	}
	if outcome, known := s.outcomes[change.Token]; known && s.deduplicates {
		return outcome, nil
	}
	next, err := change.Mutate(s.document)
	var refusal *resultcode.Error
	if errors.As(err, &refusal) {
		return Outcome{Code: refusal.Code, Message: refusal.Message, Statement: change.Statement}, nil
	}
	if err != nil {
		return Outcome{}, err
	}
	next.Revision = s.document.Revision + 1
	s.document = next
	s.outcomes[change.Token] = Outcome{Revision: next.Revision, Statement: change.Statement}
	return s.outcomes[change.Token], nil
}

func (s *stubStore) Lookup(_ context.Context, token string) (Outcome, bool, error) {
	outcome, found := s.outcomes[token]
	return outcome, found, s.failure
}

type stubReadiness struct{ err error }

func (s stubReadiness) ReadyToPromote(config.Document, fleet.ModelVersion) error { return s.err }

const baseYAML = `
tenants:
  - {name: t, key_hashes: ["0000000000000000000000000000000000000000000000000000000000000001"], weight: 1, classes: [counter], max_concurrent: 4, max_waiting: 4}
classes:
  - {name: counter, rank: 0, max_wait: 5s, min_share: 0}
models:
  - name: m
    pool: p
    max_prompt_tokens: 100
    max_output_tokens: 100
    block_tokens: 4
    versions: [{name: v1, state: serving}, {name: v2, state: loading}]
    adapters: [{name: a, versions: [{name: a1, state: serving}, {name: a2, state: retired}]}]
pools:
  - {name: p, max_streams: 4, max_loads: 2}
`

type fixture struct {
	source *stubSource
	store  *stubStore
	runner *Runner
}

func newFixture(t *testing.T, readiness error) fixture {
	t.Helper()
	document, problems := config.Parse([]byte(baseYAML))
	require.NoError(t, problems.Err())
	document.Revision = 10
	source := &stubSource{document: *document}
	source.document.Directives = []config.Directive{{Engine: "e2", Incarnation: 7, Kind: config.DirectiveDrain}}
	store := &stubStore{document: *document, outcomes: map[string]Outcome{}}
	return fixture{source, store, NewRunner(source, store, stubReadiness{readiness})}
}

func (f fixture) run(statement string) Result {
	return f.runner.Run(context.Background(), Request{Statement: statement, Token: "token"})
}

func TestErrorsReportColumnAndSuggestion(t *testing.T) {
	cases := []struct {
		statement  string
		code       resultcode.Code
		column     int
		suggestion string
	}{
		{"shwo engines", resultcode.StatementSyntax, 1, "show"},
		{"show engnes", resultcode.StatementSyntax, 6, "engines"},
		{"show", resultcode.StatementSyntax, 5, "engines"},
		{"show engines wher state = x", resultcode.StatementSyntax, 14, "where"},
		{"show engines where stat = x", resultcode.StatementSyntax, 20, "state"},
		{"show engines where state = a ad zone = b", resultcode.StatementSyntax, 30, "and"},
		{"show engines where state ~ x", resultcode.StatementSyntax, 26, "="},
		{"show waiting klass x", resultcode.StatementSyntax, 14, "class"},
		{"show engines class x", resultcode.StatementSyntax, 20, "class"},
		{"role e1 srve", resultcode.StatementSyntax, 9, "serve"},
		{"where prefx hash 1", resultcode.StatementSyntax, 7, "prefix"},
		{"where prefix hsh 1", resultcode.StatementSyntax, 14, "hash"},
		{"where prefix hash xyz", resultcode.StatementSyntax, 19, "hexadecimal"},
		{`where prefix text "a" tennant t model m`, resultcode.StatementSyntax, 23, "tenant"},
		{`where prefix text "a" tenant t model m`, resultcode.StatementSyntax, 19, "shorter"},
		{`where prefix text "a" tenant z model m`, resultcode.TargetNotFound, 30, "z"},
		{`where prefix text "a`, resultcode.StatementSyntax, 19, ""},
		{"where request q9", resultcode.TargetNotFound, 15, "q9"},
		{"drain", resultcode.StatementSyntax, 6, "too early"},
		{"drain e1 e2", resultcode.StatementSyntax, 10, "e2"},
		{"drain e9", resultcode.TargetNotFound, 7, "e9"},
		{"promote m", resultcode.StatementSyntax, 10, ""},
		{"promote :a v", resultcode.TargetNotFound, 9, "model"},
		{"", resultcode.StatementSyntax, 1, "show"},
	}
	for _, testCase := range cases {
		t.Run(testCase.statement, func(t *testing.T) {
			result := newFixture(t, nil).run(testCase.statement)
			assert.Equal(t, testCase.code, result.Code, result.Message)
			assert.Equal(t, testCase.column, result.ErrorColumn, result.Message)
			assert.Contains(t, result.Message, testCase.suggestion)
		})
	}
}

func TestQueriesReturnMatchingRows(t *testing.T) {
	cases := []struct {
		statement string
		rows      int
		first     string
	}{
		{"show engines", 2, "e1"},
		{"show engines where state = leaving", 1, "e2"},
		{"show engines where leaving_by = operator and owned = yes and cache_trusted = no", 1, "e2"},
		{"show engines where state != leaving and role = serve", 1, "e1"},
		{"show routers", 1, "r1"},
		{"show tenants", 1, "t"},
		{"show models", 4, "m"},
		{"show directives", 1, "e2"},
		{"show directives where directive = role", 0, ""},
		{"show waiting", 2, "q1"},
		{"show waiting class batch", 1, "q2"},
		{"show waiting class counter tenant u", 0, ""},
		{"show revision", 1, "10"},
		{"show version", 1, "test"},
		{"where prefix hash 0xff", 1, "e1"},
		{"where request q1", 1, "e1"},
		{"explain q1", 2, "e1"},
	}
	for _, testCase := range cases {
		t.Run(testCase.statement, func(t *testing.T) {
			result := newFixture(t, nil).run(testCase.statement)
			require.Equal(t, resultcode.OK, result.Code, result.Message)
			require.Len(t, result.Rows, testCase.rows)
			if testCase.rows > 0 {
				assert.Equal(t, testCase.first, result.Rows[0][0])
				assert.Len(t, result.Rows[0], len(result.Columns))
			}
		})
	}
}

func TestPrefixTextIsHashedInServingVersionScope(t *testing.T) {
	f := newFixture(t, nil)
	text := strings.Repeat("circular ", 10)
	result := f.run(`where prefix text "` + text + `" tenant t model m:a`)
	require.Equal(t, resultcode.OK, result.Code, result.Message)
	scope := fleet.CacheScope{Tenant: "t", ModelVersion: fleet.ModelVersion{Model: "m", Adapter: "a", Version: "a1"}}
	assert.Equal(t, prompt.HashBlocks(scope, text, 4), f.source.queriedHashes)
}

func TestEngineCommandsSetDirectivesOfCurrentRun(t *testing.T) {
	f := newFixture(t, nil)
	require.Equal(t, resultcode.CommandImpossible, f.run("admit e1").Code)
	require.Equal(t, fleet.Revision(11), f.run("drain e1").Revision)
	f.run("drain e1")
	f.run("role e1 prefill")
	f.run("retire e2")
	assert.Equal(t, []config.Directive{
		{Engine: "e1", Incarnation: 4, Kind: config.DirectiveDrain},
		{Engine: "e1", Incarnation: 4, Kind: config.DirectiveRole, Role: "prefill"},
		{Engine: "e2", Incarnation: 7, Kind: config.DirectiveRetire},
	}, f.store.document.Directives)
	require.Equal(t, resultcode.OK, f.run("admit e1").Code)
	assert.Len(t, f.store.document.Directives, 2, "admit must keep the role directive")
	assert.Equal(t, resultcode.CommandImpossible, f.run("admit e2").Code, "a retired run can't be admitted")
}

// unknownRunSource lists an engine with an unknown incarnation.
type unknownRunSource struct{ *stubSource }

func (unknownRunSource) Engines() []Engine {
	return []Engine{{Run: fleet.EngineRun{Engine: "e1"}, State: "unknown"}}
}

func TestEngineCommandRequiresKnownRun(t *testing.T) {
	f := newFixture(t, nil)
	runner := NewRunner(unknownRunSource{f.source}, f.store, stubReadiness{})
	for _, statement := range []string{"drain e1", "retire e1", "admit e1", "role e1 decode"} {
		result := runner.Run(context.Background(), Request{Statement: statement})
		assert.Equal(t, resultcode.CommandImpossible, result.Code, statement)
		assert.Positive(t, result.ErrorColumn, statement)
	}
	assert.Equal(t, fleet.Revision(10), f.store.document.Revision, "nothing must be committed")
}

func TestInvalidVersionTransitionsAreRejected(t *testing.T) {
	f := newFixture(t, nil)
	before := f.store.document
	assert.Equal(t, resultcode.CommandImpossible, f.run("retire version m v1").Code, "v1 is serving")
	assert.Equal(t, resultcode.CommandImpossible, f.run("promote m v1").Code, "v1 is already serving")
	assert.Equal(t, resultcode.CommandImpossible, f.run("promote m:a a2").Code, "a2 is retired")
	for statement, column := range map[string]int{"promote m v9": 11, "promote x v9": 9, "retire version m:z v1": 16} {
		result := f.run(statement)
		assert.Equal(t, resultcode.TargetNotFound, result.Code, statement)
		assert.Equal(t, column, result.ErrorColumn, statement)
		assert.Contains(t, result.Message, fmt.Sprintf("column %d: ", column))
	}
	require.Equal(t, resultcode.OK, f.run("promote m v2").Code)
	assert.Equal(t, config.VersionServing, before.Models[0].Versions[0].State, "the mutation must not modify its input")
	require.Equal(t, resultcode.OK, f.run("retire version m v1").Code)
	assert.Equal(t, config.VersionRetired, f.store.document.Models[0].Versions[0].State)
}

func TestPromotionRequiresLoadedVersion(t *testing.T) {
	f := newFixture(t, errors.New("1 of 3 engines has v2"))
	result := f.run("promote m v2")
	assert.Equal(t, resultcode.CommandImpossible, result.Code)
	assert.Contains(t, result.Message, "1 of 3")
	swapped := strings.NewReplacer("v1, state: serving", "v1, state: loading", "v2, state: loading", "v2, state: serving").Replace(baseYAML)
	assert.Equal(t, resultcode.CommandImpossible, f.run("apply"+swapped).Code, "apply must check readiness too")
	assert.Equal(t, resultcode.OK, f.run("apply"+baseYAML).Code, "an apply without promotion needs no readiness")
}

func TestApplyReportsEveryErrorAndKeepsDirectives(t *testing.T) {
	f := newFixture(t, nil)
	f.run("drain e1")
	broken := strings.NewReplacer("weight: 1", "weight: -1", "max_streams", "max_stream").Replace(baseYAML)
	result := f.run("apply" + broken)
	assert.Equal(t, resultcode.ConfigInvalid, result.Code)
	assert.Contains(t, result.Message, "weight")
	assert.Contains(t, result.Message, "max_stream")
	require.Equal(t, resultcode.OK, f.run("apply "+baseYAML).Code)
	require.Equal(t, resultcode.OK, f.run("apply "+strings.TrimSpace(baseYAML)).Code, "the first line must keep its indentation")
	assert.Len(t, f.store.document.Directives, 1)
}

func TestCommandOutcomesCanBeLookedUp(t *testing.T) {
	f := newFixture(t, nil)
	stale := f.runner.Run(context.Background(), Request{Statement: "drain e1", ExpectedRevision: 3})
	assert.Equal(t, resultcode.RevisionConflict, stale.Code)
	assert.NotEmpty(t, stale.Token, "a command without a token must get one")
	assert.Equal(t, resultcode.TargetNotFound, f.run("lookup token").Code)
	for _, commitErr := range []error{errors.New("answer lost"), resultcode.New(resultcode.CommandUncertain, "answer lost")} {
		f.store.failure = commitErr
		uncertain := f.run("drain e1")
		assert.Equal(t, resultcode.CommandUncertain, uncertain.Code)
		assert.Contains(t, uncertain.Message, "answer lost; ask with: lookup token")
	}
	assert.Equal(t, resultcode.PlatformUnavailable, f.run("lookup token").Code)
	f.store.failure = nil
	f.run("drain e1")
	assert.Equal(t, fleet.Revision(11), f.run("lookup token").Revision)
}

func TestTokenReusedForAnotherCommandIsRejected(t *testing.T) {
	f := newFixture(t, nil)
	f.store.deduplicates = true
	first := f.run("drain e1")
	require.Equal(t, resultcode.OK, first.Code)
	assert.Equal(t, first, f.run("drain e1"), "a retry must return the first outcome")
	other := f.run("retire e1")
	assert.Equal(t, resultcode.CommandImpossible, other.Code)
	assert.Contains(t, other.Message, `"drain e1" at revision 11`)
	assert.Equal(t, fleet.Revision(11), f.store.document.Revision)
}

func TestLongStatementsAreRecordedByDigest(t *testing.T) {
	f := newFixture(t, nil)
	f.store.deduplicates = true
	padding := strings.Repeat("# ü\n", maxRecordedBytes)
	long := "apply " + padding + baseYAML
	require.Equal(t, resultcode.OK, f.run(long).Code)
	recorded := f.store.outcomes["token"].Statement
	assert.Less(t, len(recorded), maxRecordedBytes)
	assert.True(t, utf8.ValidString(recorded))
	assert.Equal(t, resultcode.OK, f.run(long).Code, "a retry must succeed")
	assert.Equal(t, resultcode.CommandImpossible, f.run(long+"\n").Code, "a different statement with the same beginning must be rejected")
}

func TestResultAsTextAndJSON(t *testing.T) {
	f := newFixture(t, nil)
	var text strings.Builder
	require.NoError(t, f.run("show routers").WriteText(&text))
	assert.Equal(t, "ROUTER  ADDRESS  REGION  ZONE  STATE\nr1                             alive\n", text.String())
	encoded, err := json.Marshal(f.run("drain e9"))
	require.NoError(t, err)
	assert.JSONEq(t, `{"code":4004,"name":"target_not_found","message":"column 7: no engine \"e9\"",
		"error_column":7,"columns":[],"rows":[]}`, string(encoded))
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"show engines where a = b and c != d", "apply\ntenants: []", `where prefix text "\x00" tenant t model m`, "role a b", "\xff\"", "!"} {
		f.Add(seed)
	}
	source := &stubSource{}
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := Parse(text)
		if err != nil {
			var syntaxError *SyntaxError
			require.ErrorAs(t, err, &syntaxError)
			require.Positive(t, syntaxError.Column)
			return
		}
		if _, err := MakePlan(statement, source); err != nil {
			var planError *PlanError
			require.ErrorAs(t, err, &planError)
		}
	})
}

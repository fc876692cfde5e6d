package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseAcceptsValidDocument(t *testing.T) {
	document, problems := Parse([]byte(validYAML))
	require.Empty(t, problems)
	view, err := NewView(*document)
	require.NoError(t, err)
	tenant, found := view.TenantByKey("example-key-counter")
	require.True(t, found)
	assert.Equal(t, "citizen-app", string(tenant.Name))
	assert.Equal(t, "urgent", string(view.Classes()[0].Name))
}

// TestParseReportsFault guards against errors of a configuration that are missed or reported at the
// wrong line. Each case changes one place of the valid document.
func TestParseReportsFault(t *testing.T) {
	cases := []struct {
		name, old, replacement string
		line                   int
		field, message         string
	}{
		{"unknown field", "    weight: 3", "    wieght: 3", 4, "tenants[0].wieght", "unknown field"},
		{"repeated field", "    weight: 3", "    weight: 3\n    weight: 4", 5, "tenants[0].weight", "given twice"},
		{"wrong type", "weight: 3", "weight: heavy", 4, "tenants[0].weight", "expected a number, found a string"},
		{"number as name", "name: v1", "name: 1", 15, "models[0].versions[0].name", "expected a string"},
		{"fraction", "max_waiting: 256", "max_waiting: 1.5", 7, "tenants[0].max_waiting", "expected a whole number"},
		{"out of range", "max_waiting: 256", "max_waiting: 99999999999999999999", 7, "tenants[0].max_waiting", "number"},
		{"negative", "max_concurrent: 64", "max_concurrent: -1", 6, "tenants[0].max_concurrent", "must be at least 1, is -1"},
		{"not a number", "weight: 3", "weight: .nan", 4, "tenants[0].weight", "expected a number"},
		{"bad duration", "max_wait: 2s", "max_wait: soon", 9, "classes[0].max_wait", "invalid duration"},
		{"zero duration", "max_wait: 2s", "max_wait: 0s", 9, "classes[0].max_wait", "greater than 0"},
		{"bad name", "name: notes", "name: 'a:b'", 12, "models[0].name", "isn't a name"},
		{"alias", "pool: main", "pool: &p main", 13, "models[0].pool", "anchor"},
		{"upper-case hash", counterKeyHash, strings.ToUpper(counterKeyHash), 3, "tenants[0].key_hashes[0]", "lowercase"},
		{"repeated key", `"]`, `", "` + counterKeyHash + `"]`, 3, "tenants[0].key_hashes[1]", "tenants[0].key_hashes[0]"},
		{"unknown class", "[urgent, batch]", "[urgent, night]", 5, "tenants[0].classes[1]", `unknown class "night"`},
		{"class twice", "[urgent, batch]", "[urgent, urgent]", 5, "tenants[0].classes[1]", "listed twice"},
		{"unknown model", "    weight: 3", "    weight: 3\n    models: [lm]", 5, "tenants[0].models[0]", `unknown model "lm"`},
		{"unknown pool", "pool: main", "pool: spare", 13, "models[0].pool", `unknown pool "spare"`},
		{"none serving", "name: v1, state: serving", "name: v1, state: retired", 14, "models[0].versions", "found 0"},
		{"two serving", "state: loading", "state: serving", 14, "models[0].versions", "found 2"},
		{"adapter not serving", "a1, state: serving", "a1, state: loading", 19, "models[0].adapters[0].versions", "found 0"},
		{"unknown state", "state: loading", "state: warm", 16, "models[0].versions[1].state", "must be one of"},
		{"repeated version", "name: v2", "name: v1", 16, "models[0].versions[1].name", "models[0].versions[0]"},
		{"equal ranks", "rank: 20", "rank: 0", 10, "classes[1].rank", `class "urgent" has rank 0`},
		{"shares", "min_share: 0}", "min_share: 0.95}", 8, "classes", "less than 1"},
		{"two documents", "classes:\n", "---\nclasses:\n", 8, "", "more than one document"},
		{"syntax", "versions: [{", "versions: {[{", 19, "", "syntax"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			source := strings.Replace(validYAML, test.old, test.replacement, 1)
			require.NotEqual(t, validYAML, source)
			document, problems := Parse([]byte(source))
			require.Nil(t, document)
			require.NotEmpty(t, problems)
			for _, problem := range problems {
				if problem.Field == test.field && strings.Contains(problem.Message, test.message) {
					assert.Equal(t, test.line, problem.Line, problem.String())
					return
				}
			}
			t.Fatalf("expected problem not reported:\n%v", problems)
		})
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	source := strings.NewReplacer(
		"weight: 3", "weight: heavy",
		"urgent, batch]", "night]",
		"pool: main", "pool: spare",
		"rank: 20", "rank: 0",
	).Replace(validYAML)
	_, problems := Parse([]byte(source))
	var fields []string
	for _, problem := range problems {
		fields = append(fields, problem.Field)
	}
	assert.Equal(t, []string{"tenants[0].weight", "tenants[0].classes[0]", "classes[1].rank", "models[0].pool"}, fields)
}

func TestParseReportsMissingListsOfEmptyFile(t *testing.T) {
	for _, source := range []string{"", "# nothing\n", "{}"} {
		_, problems := Parse([]byte(source))
		assert.Len(t, problems, 4, source)
	}
}

// TestParseRejectsFileOverLimits guards against malicious files that keep the YAML parser busy for
// minutes.
func TestParseRejectsFileOverLimits(t *testing.T) {
	cases := map[string]string{
		"[":       "levels of nesting",
		"{a: ":    "levels of nesting",
		"- ":      "levels of nesting",
		"&a ":     "levels of nesting",
		"a: ":     "fields in one mapping",
		"a:\n ":   "fields in one mapping",
		`"x"`:     "words and signs in one line",
		"# 234\n": "over 1048576 bytes",
	}
	for unit, message := range cases {
		_, problems := Parse([]byte("tenants:\n " + strings.Repeat(unit, 200_000)))
		assert.Contains(t, problems.Error(), message, unit)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Add([]byte("tenants: [{name: 1, classes: {}}]"))
	f.Fuzz(func(t *testing.T, source []byte) {
		document, problems := Parse(source)
		if (document == nil) != (len(problems) > 0) {
			t.Fatalf("document %v with problems %v", document, problems)
		}
		if document != nil {
			_, err := NewView(*document)
			require.NoError(t, err)
		}
	})
}

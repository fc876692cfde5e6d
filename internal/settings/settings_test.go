package settings

import (
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type exampleSettings struct {
	Node     Node     `yaml:"node"`
	Logging  Logging  `yaml:"logging"`
	Platform Platform `yaml:"platform"`
	MinBody  int      `yaml:"min_body" validate:"gte=1"`
	MaxBody  int      `yaml:"max_body" validate:"gte=1"`
	Peers    []string `yaml:"peers" validate:"dive,address"`
}

// ValidateCrossField implements CrossFieldValidator.
func (e *exampleSettings) ValidateCrossField(report func(field, message string)) {
	if e.MaxBody < e.MinBody {
		report("max_body", "must be at least min_body")
	}
}

func defaults() *exampleSettings {
	return &exampleSettings{Logging: DefaultLogging(), Platform: DefaultPlatform(), MinBody: 1, MaxBody: 100}
}

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const validFile = `node: {id: agent-1, zone: paldi-hall, address: "127.0.0.1:0"}
platform: {address: "127.0.0.1:7000"}
max_body: 200
`

func TestLoadPrefersOverridesToFileToDefaults(t *testing.T) {
	target := defaults()
	problems := Load(writeFile(t, validFile), target,
		Override{"node.zone", "vasna-hall"},
		Override{"node.id", "17"},
		Override{"platform.timeout", "3s"},
		Override{"peers", "['127.0.0.1:1', '[::1]:2']"},
		Override{"min_body", "50"})
	require.Empty(t, problems)
	assert.Equal(t, "vasna-hall", string(target.Node.Zone))
	assert.Equal(t, "17", target.Node.ID)
	assert.Equal(t, Duration(3*time.Second), target.Platform.Timeout)
	assert.Equal(t, []int{50, 200}, []int{target.MinBody, target.MaxBody})
	assert.Equal(t, "info", target.Logging.Level)
	assert.Len(t, target.Peers, 2)
	assert.NotEqual(t, target.Node.NewNodeID(), target.Node.NewNodeID())
}

func TestLoadReportsEveryProblem(t *testing.T) {
	path := writeFile(t, `node: {id: "a b", address: "localhost:1"}
platform: {address: "127.0.0.1:7000", timeout: -1s}
loging: {}
max_body: 0
`)
	problems := Load(path, defaults(),
		Override{"logging.level", "loud"}, Override{"min_body", "few"}, Override{"nod.id", "x"}, Override{"node.id.x", "x"})
	var lines []string
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	assert.Equal(t, []string{
		`logging.level: "loud" must be one of: debug info warn error`,
		`min_body: expected a whole number, found a string`,
		`nod.id: unknown field`,
		`node.id.x: unknown field`,
		`line 1, column 1: node.zone: is required`,
		`line 1, column 8: node.id: "a b" isn't a name: use 1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit`,
		`line 1, column 19: node.address: "localhost:1" must be HOST:PORT with a numeric host`,
		`line 2, column 39: platform.timeout: must be greater than 0, is -1s`,
		`line 3, column 1: loging: unknown field`,
		`line 4, column 1: max_body: must be at least 1, is 0`,
	}, lines)
}

func TestLoadReportsMissingFile(t *testing.T) {
	problems := Load(filepath.Join(t.TempDir(), "none.yaml"), defaults())
	require.Len(t, problems, 1)
	assert.Contains(t, problems[0].Message, "no such file")
}

func TestLoadChecksRulesBetweenFields(t *testing.T) {
	problems := Load(writeFile(t, validFile+"min_body: 300\n"), defaults())
	require.Len(t, problems, 1)
	assert.Equal(t, "line 3, column 1: max_body: must be at least min_body", problems[0].String())
}

func TestParseOverride(t *testing.T) {
	override, problems := ParseOverride("node.id=a=b")
	assert.Empty(t, problems)
	assert.Equal(t, Override{Field: "node.id", Value: "a=b"}, override)
	_, problems = ParseOverride("node.id")
	assert.NotEmpty(t, problems)
}

func TestMemoryApplySetsRuntimeLimit(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	Memory{}.Apply()
	assert.Equal(t, before, debug.SetMemoryLimit(-1), "no limit is set by default")
	Memory{SoftLimitBytes: math.MaxInt32}.Apply()
	assert.EqualValues(t, math.MaxInt32, debug.SetMemoryLimit(-1))
}

package reference

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
)

const (
	repositoryRoot = "../../.."
	pagePath       = repositoryRoot + "/docs/CONFIGURATION.md"
)

var update = flag.Bool("update", false, "write the tables into docs/CONFIGURATION.md")

// documented lists the structs whose tables are in the page. Each table is between marks with the
// names of the package and the type.
var documented = []struct{ source, typeName string }{
	{"internal/config/document.go", "Document"},
	{"internal/config/document.go", "Tenant"},
	{"internal/config/document.go", "Class"},
	{"internal/config/document.go", "Model"},
	{"internal/config/document.go", "Adapter"},
	{"internal/config/document.go", "Version"},
	{"internal/config/document.go", "Pool"},
	{"internal/settings/common.go", "Node"},
	{"internal/settings/common.go", "Logging"},
	{"internal/settings/common.go", "Memory"},
	{"internal/settings/common.go", "Platform"},
	{"internal/agent/settings.go", "Settings"},
	{"internal/agent/settings.go", "HTTPSettings"},
	{"internal/agent/settings.go", "RequestSettings"},
	{"internal/agent/settings.go", "EngineSettings"},
	{"internal/agent/settings.go", "SyncSettings"},
	{"internal/router/settings.go", "Settings"},
}

func TestPageMatchesStructs(t *testing.T) {
	source, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	page := string(source)
	for _, entry := range documented {
		table, err := Table(filepath.Join(repositoryRoot, entry.source), entry.typeName)
		require.NoError(t, err)
		mark := filepath.Base(filepath.Dir(entry.source)) + "." + entry.typeName
		begin := fmt.Sprintf("<!-- begin %s -->\n", mark)
		end := fmt.Sprintf("<!-- end %s -->\n", mark)
		before, rest, found := strings.Cut(page, begin)
		require.True(t, found, "the page has no begin mark for %s", mark)
		existing, after, found := strings.Cut(rest, end)
		require.True(t, found, "the page has no end mark for %s", mark)
		if *update {
			page = before + begin + table + end + after
			continue
		}
		assert.Equal(t, table, existing, "run go test ./internal/config/reference -update")
	}
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(page), 0o644))
	}
}

func TestTableRejectsFieldWithoutComment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bare.go")
	require.NoError(t, os.WriteFile(path, []byte("package p\ntype T struct {\n\tA int `yaml:\"a\"`\n}\n"), 0o600))
	_, err := Table(path, "T")
	assert.ErrorContains(t, err, `field "a" has no comment`)
	_, err = Table(path, "Missing")
	assert.ErrorContains(t, err, "no struct Missing")
}

func TestExampleIsValid(t *testing.T) {
	source, err := os.ReadFile(filepath.Join(repositoryRoot, "examples", "config.yaml"))
	require.NoError(t, err)
	document, problems := config.Parse(source)
	require.Empty(t, problems)
	view, err := config.NewView(*document)
	require.NoError(t, err)
	for key, name := range map[string]string{"example-key-counter": "citizen-app", "example-key-batch": "billing-batch"} {
		tenant, found := view.TenantByKey(key)
		require.True(t, found, key)
		assert.Equal(t, name, string(tenant.Name))
	}
}

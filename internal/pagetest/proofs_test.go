package pagetest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	namedTest   = regexp.MustCompile(`\bTest[A-Z][A-Za-z0-9]+`)
	definedTest = regexp.MustCompile(`(?m)^func (Test[A-Z][A-Za-z0-9]+)\(`)
)

// repositoryRoot is the path from this package to the repository's root.
const repositoryRoot = "../.."

// definedTests returns the names of all tests of the repository.
func definedTests(t *testing.T) map[string]bool {
	defined := make(map[string]bool)
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, found := range definedTest.FindAllSubmatch(content, -1) {
			defined[string(found[1])] = true
		}
		return err
	})
	require.NoError(t, err)
	return defined
}

// Guards against references in docs/PROOFS.md to tests that don't exist.
func TestProofsNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "PROOFS.md"))
	require.NoError(t, err)
	defined := definedTests(t)
	names := namedTest.FindAllString(string(page), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		assert.True(t, defined[name], "the page names %s, which doesn't exist", name)
	}
}

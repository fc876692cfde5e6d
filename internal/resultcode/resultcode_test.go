package resultcode

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const pagePath = "../../docs/RESULT-CODES.md"

func TestPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	var rows []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Code") {
			rows = append(rows, line)
		}
	}
	var expected []string
	for _, entry := range Table {
		notRun := "no"
		if entry.NotRun {
			notRun = "yes"
		}
		expected = append(expected, fmt.Sprintf("| %d | `%s` | %d | %s | %s |",
			entry.Code, entry.Name, entry.Status, notRun, entry.Meaning))
	}
	assert.Equal(t, expected, rows)
}

func TestTableIsAscendingAndUnique(t *testing.T) {
	names := make(map[string]bool)
	for index, entry := range Table {
		if index > 0 {
			assert.Greater(t, entry.Code, Table[index-1].Code)
		}
		assert.False(t, names[entry.Name], "%s occurs twice", entry.Name)
		names[entry.Name] = true
		assert.NotEmpty(t, entry.Meaning, entry.Name)
		assert.Equal(t, entry, Lookup(entry.Code))
		assert.Equal(t, entry.Name, entry.Code.String())
	}
}

// Guards against codes whose HTTP status or NotRun contradicts the meaning of their thousand.
func TestEntriesMatchTheirFamily(t *testing.T) {
	for _, entry := range Table {
		switch entry.Code / 1000 {
		case 1:
			assert.True(t, entry.NotRun, entry.Name)
			assert.Equal(t, 4, entry.Status/100, entry.Name)
		case 2:
			assert.True(t, entry.NotRun, entry.Name)
			assert.Contains(t, []int{429, 503}, entry.Status, entry.Name)
		case 3:
			assert.False(t, entry.NotRun, entry.Name)
		}
	}
}

func TestUnknownCodeIsInternal(t *testing.T) {
	assert.Equal(t, Internal, Lookup(4999).Code)
	assert.EqualError(t, New(Code(4999), "lost"), "internal: lost")
}

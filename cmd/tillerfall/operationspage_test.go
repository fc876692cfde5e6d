package main

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

const operationsPage = "../../docs/OPERATIONS.md"

var (
	// loggedEvent matches the name of an event in a log call, a call of logEngineError or the
	// declaration of a constant that begins with Event.
	loggedEvent = regexp.MustCompile(`(?:\bMsg\(|logEngineError\(|\bEvent[A-Z][A-Za-z]* += )"([a-z_]+)"`)
	eventRow    = regexp.MustCompile("(?m)^\\| ((?:`[a-z_]+`(?: d)?(?:, )?)+) \\| (?:both|router|agent|gateway|all) \\|")
	quotedName  = regexp.MustCompile("`([a-z_]+)`")
	loggedLine  = regexp.MustCompile(`event=([a-z_]+)`)
)

// loggedEvents returns the names of the events in the product's log calls.
func loggedEvents(t *testing.T) map[string]bool {
	events := make(map[string]bool)
	for _, root := range []string{"../../internal", "."} {
		require.NoError(t, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, found := range loggedEvent.FindAllSubmatch(source, -1) {
				events[string(found[1])] = true
			}
			return err
		}))
	}
	return events
}

// TestPageNamesTheLoggedEvents guards against differences between the events that the code logs and
// the table and examples in docs/OPERATIONS.md.
func TestPageNamesTheLoggedEvents(t *testing.T) {
	data, err := os.ReadFile(operationsPage)
	require.NoError(t, err)
	page := string(data)
	documented := make(map[string]bool)
	for _, row := range eventRow.FindAllStringSubmatch(page, -1) {
		for _, name := range quotedName.FindAllStringSubmatch(row[1], -1) {
			documented[name[1]] = true
		}
	}
	assert.Equal(t, loggedEvents(t), documented)
	for _, found := range loggedLine.FindAllStringSubmatch(page, -1) {
		assert.True(t, documented[found[1]], "%s is in an example but not in the table", found[1])
	}
}

// TestPageNamesTheExitCodes guards against differences between the exit codes and their table in
// docs/OPERATIONS.md.
func TestPageNamesTheExitCodes(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	require.NoError(t, err)
	for code, meaning := range map[int]string{
		0: "done", exitFailure: "failed", exitUsage: "the command line is wrong", exitUncertain: "`command_uncertain`",
	} {
		assert.Contains(t, string(page), "\n| "+string(rune('0'+code))+" | "+meaning)
	}
}

package integration

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The section of the operations guide whose commands start the fleets.
const (
	operatingPage    = "docs/OPERATIONS.md"
	documentedTitle  = "## Run the parts as separate processes"
	nextSectionStart = "\n## "
)

var (
	fencedBlock       = regexp.MustCompile("(?s)```(sh|json)\n(.*?)```")
	documentedAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// documentation is the parsed section.
type documentation struct {
	machines string
	commands []documentedCommand
}

// documentedCommand is one line of a shell block.
type documentedCommand struct {
	program    string
	flags      []string
	background bool
	// line is the command as documented.
	line string
}

// name returns the identifier of the process that the command starts.
func (c documentedCommand) name() string {
	for position, flag := range c.flags {
		if flag == "--id" {
			return c.flags[position+1]
		}
	}
	return c.flags[0]
}

// flag returns the value of a flag, or an empty string.
func (c documentedCommand) flag(name string) string {
	for position, flag := range c.flags {
		if flag == name {
			return c.flags[position+1]
		}
	}
	return ""
}

// runsProjectBinary reports whether the command runs a program of this project.
func (c documentedCommand) runsProjectBinary() bool { return strings.HasPrefix(c.program, "bin/") }

func readDocumentation(t *testing.T) documentation {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(repository, operatingPage))
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), documentedTitle)
	require.True(t, found, "%s has no section %q", operatingPage, documentedTitle)
	section, _, _ = strings.Cut(section, nextSectionStart)
	var read documentation
	for _, block := range fencedBlock.FindAllStringSubmatch(section, -1) {
		if block[1] == "json" {
			read.machines = block[2]
			continue
		}
		for line := range strings.Lines(block[2]) {
			read.commands = append(read.commands, parseDocumentedCommand(line))
		}
	}
	require.NotEmpty(t, read.machines)
	require.NotEmpty(t, read.commands)
	return read
}

func parseDocumentedCommand(line string) documentedCommand {
	line = strings.TrimSpace(line)
	text, background := strings.CutSuffix(line, " &")
	words := splitWords(text)
	return documentedCommand{program: words[0], flags: words[1:], background: background, line: text}
}

// splitWords splits a line like a shell, but supports only single quotes.
func splitWords(text string) []string {
	var words []string
	var word strings.Builder
	quoted, open := false, false
	for _, character := range text {
		switch {
		case character == '\'':
			quoted = !quoted
			open = true
		case character == ' ' && !quoted:
			if open {
				words = append(words, word.String())
			}
			word.Reset()
			open = false
		default:
			word.WriteRune(character)
			open = true
		}
	}
	if open {
		words = append(words, word.String())
	}
	return words
}

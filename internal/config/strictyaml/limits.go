package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Limits of a file. The time of the YAML parser grows with the square of the nesting depth, of a
// mapping's size and of a line's length; the limits bound the work for a malicious file.
const (
	MaxBytes      = 1 << 20
	MaxNesting    = 32
	MaxKeys       = 256
	MaxLineTokens = 4096
)

// checkLimits returns a problem at the first token over a limit, or nil.
func checkLimits(tokens token.Tokens) *Problem {
	counter := limitCounter{keysByColumn: make(map[int]int)}
	for _, current := range tokens {
		counter.count(current)
		switch {
		case counter.openBrackets > MaxNesting || counter.openedInLine > MaxNesting:
			return limitProblem(current, "more than %d levels of nesting", MaxNesting)
		case counter.keysInLine > MaxKeys || counter.keysByColumn[current.Position.Column] > MaxKeys:
			return limitProblem(current, "more than %d fields in one mapping", MaxKeys)
		case counter.tokensInLine > MaxLineTokens:
			return limitProblem(current, "more than %d words and signs in one line", MaxLineTokens)
		}
	}
	return nil
}

func limitProblem(at *token.Token, format string, limit int) *Problem {
	return &Problem{Line: at.Position.Line, Column: at.Position.Column, Message: fmt.Sprintf(format, limit)}
}

// limitCounter counts, without parsing, the quantities that determine the parser's work.
type limitCounter struct {
	line int
	// openBrackets is the number of open brackets and braces.
	openBrackets int
	// openedInLine is the number of levels, anchors, aliases and tags that begin in this line.
	openedInLine int
	keysInLine   int
	tokensInLine int
	// keysByColumn counts the keys that begin in the same column, as those of one block mapping do.
	// A line that begins further left resets the columns to its right.
	keysByColumn map[int]int
}

func (c *limitCounter) count(current *token.Token) {
	if current.Position.Line != c.line {
		c.beginLine(current.Position)
	}
	c.tokensInLine++
	switch current.Type {
	case token.SequenceStartType, token.MappingStartType:
		c.openBrackets++
	case token.SequenceEndType, token.MappingEndType:
		c.openBrackets = max(c.openBrackets-1, 0)
	case token.SequenceEntryType, token.MappingKeyType, token.AnchorType, token.AliasType, token.TagType:
		c.openedInLine++
	}
	if next := current.Next; next != nil && next.Type == token.MappingValueType {
		c.keysInLine++
		c.keysByColumn[current.Position.Column]++
	}
}

func (c *limitCounter) beginLine(position *token.Position) {
	c.line = position.Line
	c.openedInLine = 0
	c.keysInLine = 0
	c.tokensInLine = 0
	for column := range c.keysByColumn {
		if column > position.Column {
			delete(c.keysByColumn, column)
		}
	}
}

package operator

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/go-faster/errors"
)

// SyntaxError describes the first syntax error of a statement.
type SyntaxError struct {
	// Column is the position of the invalid word in characters, from 1.
	Column int
	// Message describes the error.
	Message string
	// Suggestion is the most similar keyword that is valid at this position; empty if none is
	// similar.
	Suggestion string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	text := fmt.Sprintf("column %d: %s", e.Column, e.Message)
	if e.Suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return text
}

// applyKeyword starts the statement that contains a YAML configuration.
const applyKeyword = "apply"

// MaxStatementBytes is the maximum size of a statement, including the configuration of "apply".
const MaxStatementBytes = 4 << 20

// maxPlainStatementBytes is the maximum size of any statement except "apply".
const maxPlainStatementBytes = 64 << 10

// Parse returns the syntax tree of a statement. Its errors are *SyntaxError.
func Parse(text string) (*Statement, error) {
	if document, found := cutApply(text); found {
		return &Statement{Apply: &document}, nil
	}
	if len(text) > maxPlainStatementBytes {
		return nil, &SyntaxError{Column: 1, Message: fmt.Sprintf("the statement is over %d bytes", maxPlainStatementBytes)}
	}
	statement, err := statementParser.ParseString("", text)
	if err != nil {
		return nil, newSyntaxError(text, err)
	}
	return statement, nil
}

// cutApply returns the YAML after the keyword "apply" and a single whitespace character, so that
// the first line keeps its indentation. It reports whether the text is an "apply" statement.
func cutApply(text string) (string, bool) {
	rest, found := strings.CutPrefix(strings.TrimLeft(text, " \t\r\n"), applyKeyword)
	if !found || rest == "" {
		return "", found
	}
	if !strings.ContainsAny(rest[:1], " \t\r\n") {
		return "", false
	}
	return rest[1:], true
}

// newSyntaxError converts an error of the parser to a *SyntaxError.
func newSyntaxError(text string, err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		return newUnexpectedTokenError(text, unexpected)
	}
	var located participle.Error
	if errors.As(err, &located) {
		return &SyntaxError{Column: located.Position().Column, Message: "this can't be read as a word, a quoted text or an operator"}
	}
	return &SyntaxError{Column: 1, Message: err.Error()}
}

// newUnexpectedTokenError describes an unexpected token with a suggestion or the valid keywords.
func newUnexpectedTokenError(text string, err *participle.UnexpectedTokenError) error {
	token := err.Unexpected
	before := text[:min(max(token.Pos.Offset, 0), len(text))]
	expected := expectedKeywords(before)
	result := &SyntaxError{Column: token.Pos.Column, Message: fmt.Sprintf("unexpected %q", token.Value)}
	if token.EOF() {
		result.Message = "the statement ends too early"
	} else {
		result.Suggestion = closestMatch(token.Value, expected)
	}
	if len(expected) > 0 && result.Suggestion == "" {
		result.Message += "; expected " + strings.Join(expected, ", ")
	}
	return result
}

// Package logging writes one line of key=value pairs for each event, in the
// manner of logfmt: time, level, component, node and event come first, the
// event's own fields follow in order of name. Values with spaces, quotes or
// control characters are quoted, so that an event never takes two lines.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Keys that every line begins with. Events must not use them for own fields.
const (
	keyTime      = "time"
	keyLevel     = "level"
	keyComponent = "component"
	keyNode      = "node"
	keyEvent     = "event"
)

// timeLayout is RFC 3339 in UTC with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// New returns a logger of one component of a node. Level is a zerolog level
// name, such as "info"; an unknown one counts as info.
func New(writer io.Writer, component string, node fleet.NodeID, level string) zerolog.Logger {
	threshold, err := zerolog.ParseLevel(level)
	if err != nil || threshold == zerolog.NoLevel {
		threshold = zerolog.InfoLevel
	}
	return zerolog.New(newFormatter(writer)).
		Level(threshold).
		Hook(timeHook{}).
		With().
		Str(keyComponent, component).
		Str(keyNode, string(node)).
		Logger()
}

// timeHook adds the time in this package's layout, which zerolog would
// otherwise take from a global variable.
type timeHook struct{}

// Run implements zerolog.Hook.
func (timeHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str(keyTime, time.Now().UTC().Format(timeLayout))
}

// newFormatter turns zerolog's JSON into key=value pairs. Lines of concurrent
// events don't mix.
func newFormatter(writer io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:              zerolog.SyncWriter(writer),
		NoColor:          true,
		PartsOrder:       []string{keyTime, keyLevel, keyComponent, keyNode, zerolog.MessageFieldName},
		FieldsExclude:    []string{keyComponent, keyNode},
		FormatTimestamp:  func(value any) string { return pair(keyTime, value) },
		FormatLevel:      func(value any) string { return pair(keyLevel, value) },
		FormatMessage:    func(value any) string { return pair(keyEvent, value) },
		FormatFieldName:  func(name any) string { return fmt.Sprintf("%s=", name) },
		FormatFieldValue: formatValue,
		FormatErrFieldName: func(name any) string {
			return fmt.Sprintf("%s=", name)
		},
		FormatErrFieldValue:   formatValue,
		FormatPartValueByName: func(value any, name string) string { return pair(name, value) },
	}
}

func pair(key string, value any) string {
	if value == nil {
		value = ""
	}
	return key + "=" + quote(fmt.Sprint(value))
}

// formatValue formats a field's value. The console writer has quoted strings
// with spaces already; JSON of lists and objects arrives as bytes.
func formatValue(value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case []byte:
		return quote(string(value))
	case string:
		if strings.HasPrefix(value, `"`) {
			return value
		}
		return quote(value)
	default:
		return quote(fmt.Sprint(value))
	}
}

// quote quotes a value that could not be read back otherwise.
func quote(value string) string {
	if value == "" || strings.ContainsFunc(value, needsQuote) {
		return strconv.Quote(value)
	}
	return value
}

func needsQuote(character rune) bool {
	return character <= ' ' || character > '~' || character == '"' || character == '\\' || character == '='
}

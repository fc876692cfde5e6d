// Package logging writes each event as one line of key=value pairs (logfmt). Time, level,
// component, node and event come first, followed by the error, if any, and the event's other fields
// sorted by name. Values with spaces, quotes or control characters are quoted, so that an event is
// always a single line.
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

// Keys at the start of every line. Events must not use them for their own fields.
const (
	keyTime      = "time"
	keyLevel     = "level"
	keyComponent = "component"
	keyNode      = "node"
	keyEvent     = "event"
)

// timeLayout is RFC 3339 in UTC with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// New returns a logger for one component of a node. level is a zerolog level name such as "info";
// an unknown name means info.
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

// timeHook adds the time in timeLayout. The layout of zerolog's own timestamp is a global variable.
type timeHook struct{}

// Run implements zerolog.Hook.
func (timeHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str(keyTime, time.Now().UTC().Format(timeLayout))
}

// newFormatter returns a writer that converts zerolog's JSON to key=value pairs. Concurrent events
// are written one after the other.
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

// formatValue formats the value of a field. zerolog.ConsoleWriter has already quoted strings with
// spaces, and passes lists and objects as JSON bytes.
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

// quote quotes a value that is ambiguous without quotes.
func quote(value string) string {
	if value == "" || strings.ContainsFunc(value, needsQuote) {
		return strconv.Quote(value)
	}
	return value
}

func needsQuote(character rune) bool {
	return character <= ' ' || character > '~' || character == '"' || character == '\\' || character == '='
}

package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Column is one column of a result.
type Column struct {
	Name string
}

// Row is one row of a result, with a cell for each column.
type Row []string

// Result is the outcome of a statement.
type Result struct {
	// Code is resultcode.OK if the statement succeeded.
	Code resultcode.Code
	// Message describes the outcome or the error.
	Message string
	// Token identifies a command, for looking up its outcome.
	Token string
	// Revision is the configuration revision at which a command took effect; 0 for a query.
	Revision fleet.Revision
	Columns  []Column
	Rows     []Row
	// ErrorColumn is the position of the invalid word in characters, from 1; 0 if there is none.
	ErrorColumn int
}

func failure(code resultcode.Code, message string) Result {
	return Result{Code: code, Message: message}
}

// WriteText writes the result as a text table, followed by a summary line.
func (r Result) WriteText(output io.Writer) error {
	if len(r.Columns) > 0 {
		if err := r.writeTable(output); err != nil {
			return err
		}
	}
	line := r.summary()
	if line == "" {
		return nil
	}
	_, err := fmt.Fprintln(output, line)
	return err
}

func (r Result) summary() string {
	var parts []string
	if r.Code != resultcode.OK {
		parts = append(parts, fmt.Sprintf("error %d %s:", r.Code, r.Code))
	}
	if r.Message != "" {
		parts = append(parts, r.Message)
	}
	if r.Revision != 0 {
		parts = append(parts, fmt.Sprintf("revision=%d", r.Revision))
	}
	if r.Token != "" {
		parts = append(parts, "token="+r.Token)
	}
	return strings.Join(parts, " ")
}

func (r Result) writeTable(output io.Writer) error {
	const columnGap = 2
	table := tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
	names := make([]string, 0, len(r.Columns))
	for _, column := range r.Columns {
		names = append(names, strings.ToUpper(column.Name))
	}
	_, _ = fmt.Fprintln(table, strings.Join(names, "\t"))
	for _, row := range r.Rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// resultJSON is the documented JSON encoding of a Result.
type resultJSON struct {
	Code        resultcode.Code `json:"code"`
	Name        string          `json:"name"`
	Message     string          `json:"message,omitempty"`
	Token       string          `json:"token,omitempty"`
	Revision    fleet.Revision  `json:"revision,omitempty"`
	ErrorColumn int             `json:"error_column,omitempty"`
	Columns     []string        `json:"columns"`
	Rows        []Row           `json:"rows"`
}

// MarshalJSON implements json.Marshaler.
func (r Result) MarshalJSON() ([]byte, error) {
	encoded := resultJSON{
		Code: r.Code, Name: r.Code.String(), Message: r.Message, Token: r.Token,
		Revision: r.Revision, ErrorColumn: r.ErrorColumn,
		Columns: make([]string, 0, len(r.Columns)), Rows: r.Rows,
	}
	for _, column := range r.Columns {
		encoded.Columns = append(encoded.Columns, column.Name)
	}
	if encoded.Rows == nil {
		encoded.Rows = []Row{}
	}
	return json.Marshal(encoded)
}

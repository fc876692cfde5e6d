package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// significantDigits is the precision of printed values.
const significantDigits = 4

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteMarkdown writes the report as Markdown tables.
func (r *Report) WriteMarkdown(writer io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Measured with seed %d and %s on %d processors in %.0f s of processor time (%.0f s elapsed).\n\n",
		r.Seed, r.GoVersion, r.Processors, r.ProcessorSeconds, r.ElapsedSeconds)
	text.WriteString("| slope | by n = | unit | values at n | fit | residual |\n|---|---|---|---|---|---|\n")
	for i := range r.Slopes {
		writeSlope(&text, &r.Slopes[i])
	}
	text.WriteString("\n")
	if _, err := io.WriteString(writer, text.String()); err != nil {
		return err
	}
	return WriteFigures(writer, r.Figures)
}

// WriteFigures writes figures as a Markdown table.
func WriteFigures(writer io.Writer, figures []Figure) error {
	var text strings.Builder
	text.WriteString("| figure | unit | value |\n|---|---|---|\n")
	for _, figure := range figures {
		fmt.Fprintf(&text, "| %s | %s | %s |\n", figure.Name, figure.Unit, formatValue(figure.Value))
	}
	_, err := io.WriteString(writer, text.String())
	return err
}

func writeSlope(text *strings.Builder, slope *Slope) {
	values := make([]string, 0, len(slope.Points))
	for _, point := range slope.Points {
		values = append(values, formatValue(point.Size)+": "+formatValue(point.Value))
	}
	fmt.Fprintf(text, "| %s | %s | %s | %s | %s + %s · %s | %.1f%% |\n",
		slope.Name, slope.Size, slope.Unit, strings.Join(values, ", "),
		formatValue(slope.Intercept), formatValue(slope.PerUnit), slope.Growth, 100*slope.Residual)
}

// formatValue formats a value with significantDigits digits, and without an exponent unless it is
// very small or very large.
func formatValue(value float64) string {
	text := strconv.FormatFloat(value, 'g', significantDigits, 64)
	rounded, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	const smallest, largest = 1e-4, 1e12
	if magnitude := max(rounded, -rounded); magnitude != 0 && (magnitude < smallest || magnitude >= largest) {
		return text
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}

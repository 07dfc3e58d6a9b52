// Package printer prints the answers of the administration API as a table or as
// JSON.
//
// # Usage
//
//	p, err := printer.New(os.Stdout, "table")
//	p.Print(value, []string{"NAME", "VERSION"}, rows)
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Output formats.
const (
	Table = "table"
	JSON  = "json"
)

// FormatError reports an unknown output format.
type FormatError struct {
	Format string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("output must be table or json, not %q", e.Format)
}

// Printer prints to one writer.
type Printer struct {
	w      io.Writer
	format string
}

// New returns a Printer. It returns a *FormatError if the format is neither Table
// nor JSON.
func New(w io.Writer, format string) (*Printer, error) {
	if format != Table && format != JSON {
		return nil, &FormatError{Format: format}
	}
	return &Printer{w: w, format: format}, nil
}

// Print prints the value in the JSON format, and the rows under their headers in
// the table format.
func (p *Printer) Print(value any, headers []string, rows [][]string) error {
	if p.format == JSON {
		return json.NewEncoder(p.w).Encode(value)
	}
	writer := tabwriter.NewWriter(p.w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(headers, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// PrintLine prints one line in the table format, and nothing in the JSON format.
func (p *Printer) PrintLine(text string, values ...any) {
	if p.format == Table {
		fmt.Fprintf(p.w, text+"\n", values...)
	}
}

// PrintJSON prints a value in the JSON format, and nothing in the table format.
func (p *Printer) PrintJSON(value any) error {
	if p.format != JSON {
		return nil
	}
	return json.NewEncoder(p.w).Encode(value)
}

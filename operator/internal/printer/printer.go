// Package printer prints what the administration API answers, as a table for
// people or as JSON for programs.
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

// Forms of output.
const (
	Table = "table"
	JSON  = "json"
)

// FormError says that there is no such form of output.
type FormError struct {
	Form string
}

// Error implements error.
func (e *FormError) Error() string {
	return fmt.Sprintf("output must be table or json, not %q", e.Form)
}

// Printer prints to one writer.
type Printer struct {
	w    io.Writer
	form string
}

// New returns a printer. The error is a *FormError.
func New(w io.Writer, form string) (*Printer, error) {
	if form != Table && form != JSON {
		return nil, &FormError{Form: form}
	}
	return &Printer{w: w, form: form}, nil
}

// Print prints value as JSON, or the rows under their heads.
func (p *Printer) Print(value any, heads []string, rows [][]string) error {
	if p.form == JSON {
		return json.NewEncoder(p.w).Encode(value)
	}
	t := tabwriter.NewWriter(p.w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(heads, "\t"))
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}

// Say prints one line in the table form alone.
func (p *Printer) Say(format string, values ...any) {
	if p.form == Table {
		fmt.Fprintf(p.w, format+"\n", values...)
	}
}

// PrintJSON prints a value in the JSON form alone.
func (p *Printer) PrintJSON(value any) error {
	if p.form != JSON {
		return nil
	}
	return json.NewEncoder(p.w).Encode(value)
}

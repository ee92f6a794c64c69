package show

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"
	"text/tabwriter"
	"unicode"

	"dogwoodsill.org/core/keys"
)

// Format is the form of the output.
type Format string

// Formats of the output.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Set implements pflag.Value.
func (f *Format) Set(s string) error {
	switch Format(s) {
	case Table, JSON:
		*f = Format(s)
		return nil
	default:
		return fmt.Errorf("must be table or json")
	}
}

// String implements pflag.Value.
func (f *Format) String() string {
	return string(*f)
}

// Type implements pflag.Value.
func (f *Format) Type() string {
	return "format"
}

// Rows is a table. Cells with control characters are printed escaped, so that a
// name can't change the terminal.
type Rows struct {
	Header []string
	Cells  [][]string
}

// Add appends a row. Each value is printed in its default format.
func (r *Rows) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = Clean(fmt.Sprint(v))
	}
	r.Cells = append(r.Cells, row)
}

// Write prints the table.
func (r *Rows) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, row := range append([][]string{r.Header}, r.Cells...) {
		if _, err := fmt.Fprintln(tw, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// WriteJSON prints a value as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Clean escapes the characters of s that are not printable.
func Clean(s string) string {
	if strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0 {
		return s
	}
	q := fmt.Sprintf("%+q", s)
	return q[1 : len(q)-1]
}

// keyPattern matches a key of core/keys and any part of one that still has its
// prefix and so much of the secret that it must not be shown.
var keyPattern = regexp.MustCompile(keys.Prefix + `[A-Za-z0-9_-]{16,}`)

// HasKey reports whether s contains a customer's key.
func HasKey(s string) bool {
	return keyPattern.MatchString(s)
}

// Redact replaces the keys in s.
func Redact(s string) string {
	return keyPattern.ReplaceAllString(s, keys.Prefix+"***")
}

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

// Add appends a row. Each value is printed in its default format, without keys.
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

// WriteJSON prints a value as indented JSON, without keys.
func WriteJSON(w io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, Redact(string(data)))
	return err
}

// WriteSecret prints a value as indented JSON with the key that it holds.
func WriteSecret(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Clean removes keys from s and escapes the characters that are not printable.
func Clean(s string) string {
	s = Redact(s)
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

// FindKey returns the place of the first key in data, or -1.
func FindKey(data []byte) int {
	if at := keyPattern.FindIndex(data); at != nil {
		return at[0]
	}
	return -1
}

// Redact replaces the keys in s.
func Redact(s string) string {
	return keyPattern.ReplaceAllString(s, keys.Prefix+"***")
}

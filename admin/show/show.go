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

// Format is an output format. It implements pflag.Value.
type Format string

// Supported output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Set implements pflag.Value and rejects unknown formats.
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

// Rows is a table. Non-printable characters in cells are escaped, so that a name
// can't send control sequences to the terminal.
type Rows struct {
	Header []string
	Cells  [][]string
}

// Add appends a row. Values are formatted by fmt.Sprint and cleaned by Clean.
func (r *Rows) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = Clean(fmt.Sprint(v))
	}
	r.Cells = append(r.Cells, row)
}

// Write prints the header and the rows in aligned columns.
func (r *Rows) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, row := range append([][]string{r.Header}, r.Cells...) {
		if _, err := fmt.Fprintln(tw, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// WriteJSON prints a value as indented JSON with customers' keys redacted.
func WriteJSON(w io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, Redact(string(data)))
	return err
}

// WriteSecret prints a value as indented JSON without redaction, for a document
// that shows a newly issued key.
func WriteSecret(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Clean redacts customers' keys in s and escapes non-printable characters.
func Clean(s string) string {
	s = Redact(s)
	if strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0 {
		return s
	}
	q := fmt.Sprintf("%+q", s)
	return q[1 : len(q)-1]
}

// keyPattern matches a complete key of core/keys, and a truncated one that has the
// prefix and at least 16 characters of the secret, which must not be shown either.
var keyPattern = regexp.MustCompile(keys.Prefix + `[A-Za-z0-9_-]{16,}`)

// HasKey reports whether s contains a customer's key.
func HasKey(s string) bool {
	return keyPattern.MatchString(s)
}

// FindKey returns the byte offset of the first customer's key in data, or -1.
func FindKey(data []byte) int {
	if at := keyPattern.FindIndex(data); at != nil {
		return at[0]
	}
	return -1
}

// Redact replaces the secret of each customer's key in s with "***".
func Redact(s string) string {
	return keyPattern.ReplaceAllString(s, keys.Prefix+"***")
}

package matrix

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
)

// ErrBroken is returned if at least one cell violated an invariant.
var ErrBroken = errors.New("an invariant did not hold")

// Options select the cells to run.
type Options struct {
	Pairs    bool   // also run all pairs of faults, not just each fault alone
	Only     string // run only cells whose list of fault names contains this text
	Parallel int    // maximum number of concurrent cells
}

// Run runs the cells and writes a Markdown table of the results. It returns
// ErrBroken if a cell violated an invariant.
func Run(ctx context.Context, w io.Writer, o Options) error {
	cells := plan(o)
	results := make([]Result, len(cells))
	errs := make([]error, len(cells))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, o.Parallel))
	for i, faults := range cells {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = runCell(ctx, faults, simultaneousSpans(len(faults)))
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return write(w, results)
}

func plan(o Options) [][]Fault {
	faults := Faults()
	var cells [][]Fault
	add := func(list ...Fault) {
		var names []string
		for _, f := range list {
			names = append(names, f.Name)
		}
		if strings.Contains(strings.Join(names, ", "), o.Only) {
			cells = append(cells, list)
		}
	}
	for _, f := range faults {
		add(f)
	}
	if !o.Pairs {
		return cells
	}
	for i, f := range faults {
		for _, g := range faults[i+1:] {
			add(f, g)
		}
	}
	return cells
}

func write(w io.Writer, results []Result) error {
	var b strings.Builder
	b.WriteString("| faults | sent | completed | refused, not run | unknown | works again after (s) | broken |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	broken := 0
	for _, r := range results {
		verdict := "none"
		if len(r.Broken) > 0 {
			broken++
			verdict = strings.Join(r.Broken, "; ")
		}
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %.1f | %s |\n",
			strings.Join(r.Faults, " + "), r.Sent, r.OK, r.Refused, r.Unknown, r.Settled.Seconds(), verdict)
	}
	fmt.Fprintf(&b, "\n%d cells, %d with a broken invariant\n", len(results), broken)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	if broken > 0 {
		return ErrBroken
	}
	return nil
}

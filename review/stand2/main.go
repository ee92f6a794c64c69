// Command review2 plays the cases of the second independent review: a small deployment of the
// project's own program, with stand-ins of the platform's store, of targets and of clients.
//
//	review2 CASE DIR
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
// With TROUBLE=0 it does the same without the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

type caseFunc func(ctx context.Context, root string, rec *record, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

// current is the deployment that runs.
var current atomic.Pointer[site]

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE DIR")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{began: time.Now()}
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	go func() { // no process may outlast the case
		<-ctx.Done()
		current.Load().stop()
		fmt.Fprintln(os.Stderr, "the case was stopped, or took too long")
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](ctx, root, rec, trouble)
	status := 0
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		status = 2
	case broken:
		rec.add("the rule was broken")
		status = 1
	default:
		rec.add("the rule held")
	}
	if err := os.WriteFile(filepath.Join(os.Args[2], "record.txt"), rec.buf.Bytes(), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Stdout.Write(lastLines(rec.buf.Bytes(), 12))
	os.Exit(status)
}

func lastLines(b []byte, n int) []byte {
	for i := len(b) - 2; i >= 0; i-- {
		if b[i] == '\n' {
			if n--; n == 0 {
				return b[i+1:]
			}
		}
	}
	return b
}

// Command stand runs the scripts of the review: a small deployment of the project's own
// processes with stand-ins for the store, the targets and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]func(s *Site, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stand CASE RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(2)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := make(chan int, 1)
	go func() {
		broken, err := run(s, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			s.say("the case could not run: %v", err)
			code <- 2
		case broken:
			s.say("RULE BROKEN")
			code <- 1
		default:
			s.say("rule held")
			code <- 0
		}
	}()
	result := 2
	select {
	case result = <-code:
	case <-stop:
	case <-time.After(115 * time.Second):
		s.say("the case took too long")
	}
	s.end()
	os.Exit(result)
}

// Command standin runs the scripted cases of the review: it is the platform, the upstreams and the clients of a case, and starts the
// entry instances as processes.
//
//	standin CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 116 * time.Second

// cases returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitUnusable
	}
	defer func() {
		if reason := recover(); reason != nil {
			fmt.Fprintln(os.Stderr, reason)
			code = exitUnusable
		}
	}()
	// Whatever happens, all processes end before the time of a case is over.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(os.Args[2])
	defer w.close()
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longest):
		}
		w.record.add("the case was ended early")
		w.close()
		os.Exit(exitUnusable)
	}()
	w.record.add("case %s, disruption: %t", os.Args[1], trouble)
	if cases[os.Args[1]](w, trouble) {
		w.record.add("the rule held")
		return 0
	}
	w.record.add("the rule was broken")
	return 1
}

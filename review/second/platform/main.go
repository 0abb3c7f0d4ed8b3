// Command platform plays the cases of the second review: it starts the system's instances as processes, and stands in for the platform's
// store, the upstreams and the clients. It exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// endDelay is how long a case that was interrupted has to return.
const endDelay = 2 * time.Second

// maxDuration is the longest time that a case may take.
const maxDuration = 115 * time.Second

// world is a small deployment with all around it.
type world struct {
	folder    string
	store     *store
	upstreams []*upstream
	nodes     []*node
	runs      *runs
	sents     *sents
	record    *record
	trouble   bool
}

// record is the file that tells what was sent, answered and run.
type record struct {
	file    *os.File
	started time.Time
}

func (record *record) printf(format string, values ...any) {
	fmt.Fprintf(record.file, "%7.3f "+format+"\n", append([]any{time.Since(record.started).Seconds()}, values...)...)
}

// at returns a time in seconds since the start of the record.
func (record *record) at(t time.Time) float64 { return t.Sub(record.started).Seconds() }

// addUpstream starts an upstream and registers it.
func (world *world) addUpstream(id, service string, slots int, work time.Duration) (*upstream, error) {
	upstream, err := startUpstream(id, service, slots, work, world.runs)
	if err != nil {
		return nil, err
	}
	world.upstreams = append(world.upstreams, upstream)
	world.store.put("servers/"+id, upstream.record("ready"))
	return upstream, nil
}

// writeLedger writes what clients sent and what upstreams ran.
func (world *world) writeLedger() {
	fmt.Fprintln(world.record.file, "\n# what clients sent and got: time, Attempt-Id, request, kind, status (0: no complete answer), signed, Retry-After, seconds taken")
	for _, sent := range world.sents.list() {
		fmt.Fprintf(world.record.file, "%7.3f sent %s %s %s %s -> %d signed=%t retry-after=%q took=%.3f %s\n", world.record.at(sent.At), sent.ID, sent.Method, sent.Target, sent.Kind, sent.Status, sent.Signed, sent.RetryIn, sent.Took.Seconds(), sent.Failure)
	}
	fmt.Fprintln(world.record.file, "\n# what upstreams ran: time, Attempt-Id, upstream, service, request")
	for _, run := range world.runs.list() {
		fmt.Fprintf(world.record.file, "%7.3f ran %s at %s (%s) %s %s tenant=%q\n", world.record.at(run.At), run.ID, run.Upstream, run.Service, run.Method, run.Target, run.Tenant)
	}
}

// errBroken means that a case's rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by the name of their folder.
var cases = map[string]func(context.Context, *world) error{}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "case-"+os.Args[1]+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", filepath.Clean(folder))
	}
	store, err := newStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	world := &world{folder: folder, store: store, runs: &runs{}, sents: &sents{}, record: &record{file, time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, node := range world.nodes {
			node.stop()
		}
	}()
	world.record.printf("case %s, trouble: %t", os.Args[1], world.trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](ctx, world) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
		select {
		case <-done:
		case <-time.After(endDelay):
		}
	}
	world.writeLedger()
	switch {
	case err == nil:
		world.record.printf("the rule held")
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		world.record.printf("%v", err)
		fmt.Println(err)
		return exitBroken
	}
	world.record.printf("could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

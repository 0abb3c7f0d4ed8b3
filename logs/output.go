package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of an output.
const (
	// roomBytes of lines wait for an output that is slow; it is a few seconds of lines at their usual rate.
	roomBytes = 256 << 10
	// reportEvery is between lines that tell how many lines were dropped.
	reportEvery = 10 * time.Second
	// closePatience bounds the wait for an output that takes nothing at the end.
	closePatience = 500 * time.Millisecond
)

var newline = []byte{'\n'}

// output passes lines on to a writer in the background. Lines that have no room are counted and dropped.
type output struct {
	to     io.Writer
	report func() // called now and then

	mu       sync.Mutex
	pending  []byte
	reported uint64 // lines lost that were told of
	lost     atomic.Uint64
	wake     chan struct{}
	closing  chan struct{}
	ended    chan struct{}
}

func newOutput(to io.Writer, report func()) *output {
	output := &output{to: to, report: report, wake: make(chan struct{}, 1), closing: make(chan struct{}), ended: make(chan struct{})}
	go output.run()
	return output
}

// Write takes a line in and never waits.
func (output *output) Write(line []byte) (int, error) {
	output.mu.Lock()
	full := len(output.pending)+len(line) > roomBytes
	if !full {
		output.pending = append(output.pending, line...)
	}
	output.mu.Unlock()
	if full {
		output.lost.Add(1)
		return len(line), nil
	}
	select {
	case output.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing: lines are passed on at once.
func (output *output) Sync() error { return nil }

// takeLost returns how many lines were lost since the last call.
func (output *output) takeLost() uint64 {
	output.mu.Lock()
	defer output.mu.Unlock()
	lost := output.lost.Load()
	since := lost - output.reported
	output.reported = lost
	return since
}

// run passes lines on until the output is closed.
func (output *output) run() {
	defer close(output.ended)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var batch []byte
	for {
		select {
		case <-output.wake:
		case <-ticker.C:
			// The line needs room.
			batch = output.pass(batch)
			output.report()
		case <-output.closing:
			output.pass(batch)
			return
		}
		batch = output.pass(batch)
	}
}

// pass writes the lines that wait, and returns their buffer for the next ones.
func (output *output) pass(spare []byte) []byte {
	output.mu.Lock()
	batch := output.pending
	output.pending = spare[:0]
	output.mu.Unlock()
	if len(batch) == 0 {
		return batch
	}
	if n, err := output.to.Write(batch); err != nil {
		// There is no other place to tell it; the metrics show the count.
		output.lost.Add(uint64(bytes.Count(batch[n:], newline)))
	}
	return batch
}

// close ends the output once it has taken the lines that wait, or after a short time.
func (output *output) close() {
	close(output.closing)
	timer := time.NewTimer(closePatience)
	defer timer.Stop()
	select {
	case <-output.ended:
	case <-timer.C:
	}
}

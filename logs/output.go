package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of an output.
const (
	// maxPendingBytes limits the buffer for a slow output; it holds a few seconds of lines at the usual rate.
	maxPendingBytes = 256 << 10
	// reportInterval is the time between reports of dropped lines.
	reportInterval = 10 * time.Second
	// closeTimeout limits how long close waits for a blocked output.
	closeTimeout = 500 * time.Millisecond
)

var newline = []byte{'\n'}

// output writes lines to a writer from a background goroutine. It drops and counts the lines that exceed its buffer.
type output struct {
	to     io.Writer
	report func() // called every reportInterval

	mu       sync.Mutex
	pending  []byte
	reported uint64 // part of dropped that takeDropped has returned
	dropped  atomic.Uint64
	wake     chan struct{}
	closing  chan struct{}
	done     chan struct{}
}

func newOutput(to io.Writer, report func()) *output {
	output := &output{to: to, report: report, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go output.run()
	return output
}

// Write buffers a line or drops it, and never blocks.
func (output *output) Write(line []byte) (int, error) {
	output.mu.Lock()
	full := len(output.pending)+len(line) > maxPendingBytes
	if !full {
		output.pending = append(output.pending, line...)
	}
	output.mu.Unlock()
	if full {
		output.dropped.Add(1)
		return len(line), nil
	}
	select {
	case output.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing: the background goroutine writes lines as soon as it can.
func (output *output) Sync() error { return nil }

// takeDropped returns the number of lines dropped since the last call.
func (output *output) takeDropped() uint64 {
	output.mu.Lock()
	defer output.mu.Unlock()
	dropped := output.dropped.Load()
	since := dropped - output.reported
	output.reported = dropped
	return since
}

// run writes buffered lines until the output is closed.
func (output *output) run() {
	defer close(output.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var batch []byte
	for {
		select {
		case <-output.wake:
		case <-ticker.C:
			// Make room in the buffer for the report.
			batch = output.flush(batch)
			output.report()
		case <-output.closing:
			output.flush(batch)
			return
		}
		batch = output.flush(batch)
	}
}

// flush writes the buffered lines and returns their buffer for reuse. The spare buffer takes the next lines.
func (output *output) flush(spare []byte) []byte {
	output.mu.Lock()
	batch := output.pending
	output.pending = spare[:0]
	output.mu.Unlock()
	if len(batch) == 0 {
		return batch
	}
	if n, err := output.to.Write(batch); err != nil {
		// The error cannot be logged; the metrics show the number of dropped lines.
		output.dropped.Add(uint64(bytes.Count(batch[n:], newline)))
	}
	return batch
}

// close flushes the buffer and stops the output. It waits for at most closeTimeout.
func (output *output) close() {
	close(output.closing)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-output.done:
	case <-timer.C:
	}
}

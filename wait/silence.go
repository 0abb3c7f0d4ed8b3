package wait

import (
	"context"
	"net"
	"sync"
	"time"
)

// Delays measures how late this instance runs.
type Delays interface {
	// QueueDelay returns how long what has arrived at this instance waits until it is noticed.
	QueueDelay() time.Duration
}

// maxCatchUp is how long a wait goes on after a timer that was itself late by that much: what has arrived meanwhile is read first. The runtime
// polls the network at least twice in this time.
const maxCatchUp = 20 * time.Millisecond

// Silence waits for something from another process. This instance's own delay does not count as the other's silence.
type Silence struct {
	delays Delays // nil for none
	f      func()

	mu       sync.Mutex
	timer    *time.Timer // nil after Stop
	deadline time.Time
	caughtUp bool // the time to catch up after a late timer has been given
}

// OnSilence calls f in a goroutine of its own once the deadline has passed by more than this instance's own delay, unless the Silence is stopped.
func OnSilence(deadline time.Time, delays Delays, f func()) *Silence {
	silence := &Silence{delays: delays, f: f, deadline: deadline}
	silence.mu.Lock()
	defer silence.mu.Unlock()
	silence.timer = time.AfterFunc(time.Until(deadline), silence.expire)
	return silence
}

// WithSilence returns a context that is canceled, with context.DeadlineExceeded as its cause, on silence past the deadline. The function that it
// returns releases its resources.
func WithSilence(parent context.Context, deadline time.Time, delays Delays) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	silence := OnSilence(deadline, delays, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		silence.Stop()
		cancel(nil)
	}
}

// Dial opens a connection. It gives up on silence past the deadline, with an error that wraps context.DeadlineExceeded.
func Dial(ctx context.Context, dialer *net.Dialer, deadline time.Time, delays Delays, network, address string) (net.Conn, error) {
	ctx, cancel := WithSilence(ctx, deadline, delays)
	defer cancel()
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil && context.Cause(ctx) == context.DeadlineExceeded {
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
	}
	return conn, err
}

// expire calls f, or waits longer if this instance is late.
func (silence *Silence) expire() {
	if silence.extend() {
		return
	}
	silence.f()
}

// extend reports whether f is not to be called now.
func (silence *Silence) extend() bool {
	silence.mu.Lock()
	defer silence.mu.Unlock()
	if silence.timer == nil {
		return true
	}
	now := time.Now()
	left := silence.deadline.Sub(now)
	if silence.delays != nil {
		late := -left
		left += silence.delays.QueueDelay()
		if late >= 0 && !silence.caughtUp {
			silence.caughtUp = true
			left = max(left, min(late, maxCatchUp))
		}
	}
	if left > 0 {
		silence.timer.Reset(left)
	}
	return left > 0
}

// Extend sets a later deadline, as the other process has been heard of.
func (silence *Silence) Extend(deadline time.Time) {
	silence.mu.Lock()
	defer silence.mu.Unlock()
	silence.deadline = deadline
}

// Stop ends the wait. A call of f may have begun.
func (silence *Silence) Stop() {
	silence.mu.Lock()
	defer silence.mu.Unlock()
	if silence.timer != nil {
		silence.timer.Stop()
	}
	silence.timer = nil
}

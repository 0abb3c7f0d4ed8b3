package wait

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fakeDelays is a delay in nanoseconds.
type fakeDelays struct{ atomic.Int64 }

func (f *fakeDelays) Delay() time.Duration { return time.Duration(f.Load()) }

// TestOwnDelayIsNoSilence guards against giving up on another process for a time in which this instance could not notice its answer.
func TestOwnDelayIsNoSilence(t *testing.T) {
	var delays fakeDelays
	delays.Store(int64(time.Hour))
	called := false
	silence := OnSilence(time.Now().Add(-time.Minute), &delays, func() { called = true })
	silence.expire()
	must.False(t, called)
	delays.Store(int64(time.Second))
	silence.expire()
	must.True(t, called)
	silence.Stop()
}

func TestSilenceEndsAtTheDeadline(t *testing.T) {
	called := make(chan struct{})
	OnSilence(time.Now().Add(time.Millisecond), nil, func() { close(called) })
	<-called
}

func TestStoppedSilenceDoesNotEnd(t *testing.T) {
	called := false
	silence := OnSilence(time.Now().Add(time.Hour), nil, func() { called = true })
	silence.Stop()
	silence.expire()
	must.False(t, called)
}

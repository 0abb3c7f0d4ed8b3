package wait

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// fakeDelays is a delay in nanoseconds.
type fakeDelays struct{ atomic.Int64 }

func (f *fakeDelays) QueueDelay() time.Duration { return time.Duration(f.Load()) }

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

// TestLateTimerLeavesTimeToCatchUp guards against a process that was paused and takes others for silent before it reads what has arrived.
func TestLateTimerLeavesTimeToCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delays fakeDelays
		called := false
		silence := OnSilence(time.Now().Add(time.Hour), &delays, func() { called = true })
		silence.deadline = time.Now().Add(-3 * time.Second)
		silence.expire()
		must.False(t, called)
		time.Sleep(maxCatchUp)
		synctest.Wait()
		must.True(t, called)
	})
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

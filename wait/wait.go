// Package wait provides a sleep that a context can interrupt, and time limits for the silence of other processes.
package wait

import (
	"context"
	"time"
)

// For waits for a duration or until the context ends. It returns at once if the duration is zero or negative.
func For(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

package registry

import (
	"time"

	"go.uber.org/zap"
)

// maxGenerationStep limits the increase of the generation between two replies. A store is not expected to be restored more often
// between two calls. A larger step is taken as malformed: if it were accepted, all later replies would look stale.
const maxGenerationStep = 1000

// generation is the latest known generation of the store. It increases each time the store is restored from a backup: writes and
// leases since that backup are lost, and revision numbers are reused.
type generation struct {
	number   uint64 // 0 until known
	restored chan struct{}
}

// ObserveGeneration records the generation of a reply and reports whether the reply is valid. A reply of an earlier generation is
// stale, and one whose generation exceeds the known one by more than maxGenerationStep is malformed.
func (monitor *Monitor) ObserveGeneration(now time.Time, number uint64) bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	known := monitor.generation.number
	switch {
	case number == known:
		return true
	case number < known:
		monitor.Log.Warn("store: ignored a reply of an earlier generation", zap.Uint64("generation", number), zap.Uint64("present", known))
		return false
	case number-known > maxGenerationStep:
		monitor.Log.Warn("store: ignored a reply with an implausible generation", zap.Uint64("generation", number), zap.Uint64("present", known))
		return false
	}
	monitor.generation.number = number
	if known == 0 {
		return true
	}
	monitor.Log.Warn("store: restored from an older copy; reading all records and announcing this instance again", zap.Uint64("generation", number), zap.Uint64("before", known))
	monitor.recoveredAt = now
	monitor.cancelWatches()
	if monitor.generation.restored != nil {
		close(monitor.generation.restored)
		monitor.generation.restored = nil
	}
	return true
}

// Generation returns the store's generation, 0 while it is unknown.
func (monitor *Monitor) Generation() uint64 {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	return monitor.generation.number
}

// Restored returns a channel that is closed at the next restoration of the store.
func (monitor *Monitor) Restored() <-chan struct{} {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.generation.restored == nil {
		monitor.generation.restored = make(chan struct{})
	}
	return monitor.generation.restored
}

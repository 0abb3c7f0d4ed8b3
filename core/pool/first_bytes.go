package pool

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Statistics on the time to the first byte.
const (
	statsWindows        = 4
	statsWindowDuration = 15 * time.Second
	minSamples          = 10 // from which a percentile is known
	maxFirstByteMicros  = int64(10 * time.Minute / time.Microsecond)
)

// firstBytes collects times to the first byte over the latest windows. The zero value is empty.
type firstBytes struct {
	windows  *hdrhistogram.WindowedHistogram
	rotateAt time.Time
}

// record adds a time to the first byte; 0 means that none arrived.
func (firstBytes *firstBytes) record(firstByte time.Duration) {
	if firstByte <= 0 {
		return
	}
	if firstBytes.windows == nil {
		firstBytes.windows = hdrhistogram.NewWindowed(statsWindows, 1, maxFirstByteMicros, 1)
	}
	// An error means that the value is out of range; the statistics can skip it.
	_ = firstBytes.windows.Current.RecordValue(min(maxFirstByteMicros, max(1, firstByte.Microseconds())))
}

// p95 returns the 95th percentile, and false if too few times are known.
func (firstBytes *firstBytes) p95(now time.Time) (time.Duration, bool) {
	if firstBytes.windows == nil {
		return 0, false
	}
	if !now.Before(firstBytes.rotateAt) {
		firstBytes.rotateAt = now.Add(statsWindowDuration)
		firstBytes.windows.Rotate()
	}
	merged := firstBytes.windows.Merge()
	if merged.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(merged.ValueAtQuantile(95)) * time.Microsecond, true
}

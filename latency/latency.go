// Package latency provides histograms of durations with cumulative buckets for metrics scrapers.
package latency

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// upperBounds are the upper bounds of the buckets. They range from the latency that sequoiaspan itself adds to the longest
// deadlines of callers.
var upperBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Quantiles come from an exponentially decaying sample. It has the size of the samples in go-metrics' timers, and half of its
// values are from the last few minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Histogram counts durations in buckets. Like the histograms of go-metrics, it also keeps a sample of them, in nanoseconds.
type Histogram struct {
	metrics.Histogram
	counts [len(upperBounds) + 1]atomic.Uint64
	sum    atomic.Int64
}

// Bucket is the cumulative count of durations less than or equal to Bound.
type Bucket struct {
	Bound time.Duration
	Count uint64
}

// GetOrRegisterHistogram returns the named histogram of a registry and registers it if it does not exist.
func GetOrRegisterHistogram(name string, registry metrics.Registry) *Histogram {
	newHistogram := func() metrics.Histogram {
		return &Histogram{Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))}
	}
	return registry.GetOrRegister(name, newHistogram).(*Histogram)
}

// Observe records a duration.
func (histogram *Histogram) Observe(duration time.Duration) {
	histogram.Update(int64(duration))
	i := sort.Search(len(upperBounds), func(i int) bool { return duration <= upperBounds[i] })
	histogram.counts[i].Add(1)
	histogram.sum.Add(int64(duration))
}

// Buckets returns the cumulative buckets, the number of all durations and their sum.
func (histogram *Histogram) Buckets() (buckets []Bucket, count uint64, sum time.Duration) {
	for i, bound := range upperBounds {
		count += histogram.counts[i].Load()
		buckets = append(buckets, Bucket{bound, count})
	}
	return buckets, count + histogram.counts[len(upperBounds)].Load(), time.Duration(histogram.sum.Load())
}

// Package latency counts durations in buckets, as scrapers of metrics read them.
package latency

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bounds are the upper bounds of the buckets: from the time that sequoiaspan itself adds to callers' longest deadlines.
var bounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Quantiles are taken from a sample that forgets: as many values as go-metrics' own timers keep, half of them of the last
// minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Histogram counts durations; it also keeps a sample of them, in nanoseconds, as go-metrics' own histograms do.
type Histogram struct {
	metrics.Histogram
	counts [len(bounds) + 1]atomic.Uint64
	sum    atomic.Int64
}

// Bucket is the number of durations up to a bound.
type Bucket struct {
	Bound time.Duration
	Count uint64
}

// Get returns the histogram of a name in a registry, which it registers at first.
func Get(name string, registry metrics.Registry) *Histogram {
	made := func() metrics.Histogram {
		return &Histogram{Histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))}
	}
	return registry.GetOrRegister(name, made).(*Histogram)
}

// Observe counts a duration.
func (histogram *Histogram) Observe(length time.Duration) {
	histogram.Update(int64(length))
	i := sort.Search(len(bounds), func(i int) bool { return length <= bounds[i] })
	histogram.counts[i].Add(1)
	histogram.sum.Add(int64(length))
}

// Buckets returns the counts up to each bound, the count of all and their sum.
func (histogram *Histogram) Buckets() (buckets []Bucket, count uint64, sum time.Duration) {
	for i, bound := range bounds {
		count += histogram.counts[i].Load()
		buckets = append(buckets, Bucket{bound, count})
	}
	return buckets, count + histogram.counts[len(bounds)].Load(), time.Duration(histogram.sum.Load())
}

package latency

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
)

func TestBucketsAreCumulative(t *testing.T) {
	registry := metrics.NewRegistry()
	for _, duration := range []time.Duration{time.Millisecond, time.Millisecond + 1, time.Second, time.Hour} {
		GetOrRegisterHistogram("caller.requests", registry).Observe(duration)
	}
	buckets, count, sum := GetOrRegisterHistogram("caller.requests", registry).Buckets()
	must.Eq(t, 4, count)
	must.Eq(t, time.Hour+time.Second+2*time.Millisecond+1, sum)
	must.Eq(t, Bucket{time.Millisecond, 1}, buckets[0])
	must.Eq(t, Bucket{2 * time.Millisecond, 2}, buckets[1])
	must.Eq(t, Bucket{30 * time.Second, 3}, buckets[len(buckets)-1])
}

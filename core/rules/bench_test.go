package rules

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// fileSizes are the sizes of the benchmarked rules files: the current size, an intermediate size and the target size.
var fileSizes = []struct{ routes, services, teams int }{{100, 8, 500}, {1500, 100, 10_000}, {6700, 500, 50_000}}

func rulesText(routes, services, teams int) string {
	text := &strings.Builder{}
	for i := range services {
		fmt.Fprintf(text, "service service-%d floor=75%% slots=4 ejection=cautious # asked by: treasury, FG-%d\n", i, i)
	}
	for i := range routes {
		fmt.Fprintf(text, "route /region-%d/service-%d/path-%d service=service-%d deadline=30s # asked by: desk, FG-%d\n", i%7, i%services, i, i%services, i)
	}
	for i := range teams {
		fmt.Fprintf(text, "team team-%d limit=200/s # asked by: sales, FG-%d\n", i, i)
	}
	return text.String()
}

func measureHeap(f func() any) (any, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return result, after.HeapAlloc - before.HeapAlloc
}

// BenchmarkParse parses rules files, and reports the size of the text and the heap used by the set without the text.
func BenchmarkParse(b *testing.B) {
	for _, size := range fileSizes {
		b.Run(fmt.Sprintf("routes=%d/teams=%d", size.routes, size.teams), func(b *testing.B) {
			text := rulesText(size.routes, size.services, size.teams)
			parsed, heap := measureHeap(func() any {
				set, err := Parse("rules", text)
				must.NoError(b, err)
				return set
			})
			for b.Loop() {
				_, _ = Parse("rules", text)
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
			b.ReportMetric(float64(heap), "heap-bytes")
			runtime.KeepAlive(parsed)
		})
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, size := range fileSizes {
		b.Run(fmt.Sprintf("routes=%d", size.routes), func(b *testing.B) {
			set, err := Parse("rules", rulesText(size.routes, size.services, 1))
			must.NoError(b, err)
			i := size.routes - 1
			path := fmt.Sprintf("/region-%d/service-%d/path-%d/guides/7", i%7, i%size.services, i)
			must.NotNil(b, set.Route("GET", "", path))
			b.ReportAllocs()
			for b.Loop() {
				set.Route("GET", "", path)
			}
		})
	}
}

func BenchmarkTeam(b *testing.B) {
	for _, size := range fileSizes {
		b.Run(fmt.Sprintf("teams=%d", size.teams), func(b *testing.B) {
			set, err := Parse("rules", rulesText(1, 1, size.teams))
			must.NoError(b, err)
			name := fmt.Sprintf("team-%d", size.teams-1)
			b.ReportAllocs()
			for b.Loop() {
				if set.Team(name) == nil {
					b.Fatal("no team")
				}
			}
		})
	}
}

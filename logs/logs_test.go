package logs

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// gate is an output that takes nothing while it is shut.
type gate struct {
	mu    sync.Mutex
	taken bytes.Buffer
	shut  chan struct{} // closed to open the gate
}

func (gate *gate) Write(p []byte) (int, error) {
	<-gate.shut
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.taken.Write(p)
}

func (gate *gate) lines(t *testing.T) []map[string]any {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	var lines []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(gate.taken.String()), "\n") {
		line := map[string]any{}
		must.NoError(t, json.Unmarshal([]byte(text), &line))
		lines = append(lines, line)
	}
	return lines
}

// TestBlockedOutputDelaysNothing holds the output shut while a minute of lines is written: no line waits, what waits is
// bounded, and later lines tell how many are missing. With a fake clock, a line that waited would never end.
func TestBlockedOutputDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &gate{shut: make(chan struct{})}
		log, err := Open(Options{Instance: "entry-1", Output: gate})
		must.NoError(t, err)
		started := time.Now()
		for second := range 60 {
			for range 300 {
				log.Info("request: given up", zap.Int("second", second), zap.String("padding", strings.Repeat("x", 100)))
			}
			time.Sleep(time.Second)
		}
		must.Eq(t, time.Minute, time.Since(started))
		_, blocked := log.Dropped()
		must.Positive(t, blocked)
		must.LessEq(t, roomBytes, len(log.output.pending))
		close(gate.shut)
		time.Sleep(reportEvery)
		synctest.Wait()
		lines := gate.lines(t)
		counted, written := 0.0, 0
		for _, line := range lines {
			if line["msg"] == "log: lines were dropped" {
				counted += line["output-blocked"].(float64)
				continue
			}
			written++
		}
		must.Eq(t, 60*300, written+int(counted))
		log.Close()
	})
}

// TestManyLinesAreSampledAndCounted writes more lines of one message than a second's share.
func TestManyLinesAreSampledAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &gate{shut: make(chan struct{})}
		close(gate.shut)
		log, err := Open(Options{Output: gate})
		must.NoError(t, err)
		const written = linesFirst + 10*linesThereafter
		for range written {
			log.Info("request: given up")
			synctest.Wait()
		}
		log.Info("daemon: stopped")
		log.Close()
		sampled, blocked := log.Dropped()
		must.Zero(t, blocked)
		lines := gate.lines(t)
		must.Len(t, linesFirst+10+2, lines)
		must.Eq(t, written-linesFirst-10, int(sampled))
		told := lines[len(lines)-1]
		must.Eq(t, "log: lines were dropped", told["msg"].(string))
		must.Eq(t, float64(sampled), told["sampled"].(map[string]any)["request: given up"].(float64))
	})
}

func TestUnknownLevel(t *testing.T) {
	_, err := Open(Options{Level: "loud"})
	var e *Error
	must.True(t, errors.As(err, &e))
	must.Eq(t, KindLevel, e.Kind)
}

// BenchmarkLine is one line of a request's decisions, as it costs the request.
func BenchmarkLine(b *testing.B) {
	log, err := Open(Options{Instance: "entry-1", Output: new(bytes.Buffer)})
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request: an attempt failed", zap.String("request", "c-12-34567"), zap.String("backend-server", "i-b0"), zap.Duration("age", 12*time.Millisecond))
	}
	log.Close()
}

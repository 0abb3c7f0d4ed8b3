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

// blockingWriter is an output whose writes block until unblock is closed.
type blockingWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	unblock chan struct{}
}

func (blockingWriter *blockingWriter) Write(p []byte) (int, error) {
	<-blockingWriter.unblock
	blockingWriter.mu.Lock()
	defer blockingWriter.mu.Unlock()
	return blockingWriter.written.Write(p)
}

func (blockingWriter *blockingWriter) lines(t *testing.T) []map[string]any {
	blockingWriter.mu.Lock()
	defer blockingWriter.mu.Unlock()
	var lines []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(blockingWriter.written.String()), "\n") {
		line := map[string]any{}
		must.NoError(t, json.Unmarshal([]byte(text), &line))
		lines = append(lines, line)
	}
	return lines
}

// TestBlockedOutputDelaysNothing blocks the output while lines are logged for a minute. Logging must not block, the buffer
// must stay bounded, and later reports must account for every dropped line. With the fake clock, a log call that blocks
// would never return.
func TestBlockedOutputDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := &blockingWriter{unblock: make(chan struct{})}
		log, err := Open(Options{Instance: "entry-1", Output: writer})
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
		must.LessEq(t, maxPendingBytes, len(log.output.pending))
		close(writer.unblock)
		time.Sleep(reportInterval)
		synctest.Wait()
		lines := writer.lines(t)
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

// TestManyLinesAreSampledAndCounted logs more lines of one message within a second than are written unsampled.
func TestManyLinesAreSampledAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := &blockingWriter{unblock: make(chan struct{})}
		close(writer.unblock)
		log, err := Open(Options{Output: writer})
		must.NoError(t, err)
		const written = sampleFirst + 10*sampleThereafter
		for range written {
			log.Info("request: given up")
			synctest.Wait()
		}
		log.Info("daemon: stopped")
		log.Close()
		sampled, blocked := log.Dropped()
		must.Zero(t, blocked)
		lines := writer.lines(t)
		must.Len(t, sampleFirst+10+2, lines)
		must.Eq(t, written-sampleFirst-10, int(sampled))
		report := lines[len(lines)-1]
		must.Eq(t, "log: lines were dropped", report["msg"].(string))
		must.Eq(t, float64(sampled), report["sampled"].(map[string]any)["request: given up"].(float64))
	})
}

func TestUnknownLevel(t *testing.T) {
	_, err := Open(Options{Level: "loud"})
	var e *Error
	must.True(t, errors.As(err, &e))
	must.Eq(t, KindLevel, e.Kind)
}

// BenchmarkLine measures what logging one decision line adds to a request.
func BenchmarkLine(b *testing.B) {
	log, err := Open(Options{Instance: "entry-1", Output: new(bytes.Buffer)})
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request: an attempt failed", zap.String("request", "c-12-34567"), zap.String("backend-server", "i-b0"), zap.Duration("age", 12*time.Millisecond))
	}
	log.Close()
}

// Package logs writes structured log lines to standard output. Logging never blocks the caller and uses bounded memory,
// even when lines are frequent or the process that reads the output is slow or has exited.
package logs

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of log lines.
const (
	// sampleFirst is the number of lines per message and second that are written before sampling starts. An instance logs
	// the decisions of up to 50 requests per second (see adapters/caller/http), each with a few lines per message.
	sampleFirst = 400
	// sampleThereafter is the sampling interval above sampleFirst: one of this many lines is written.
	sampleThereafter = 100
)

// Kind classifies an Error.
type Kind string

// KindLevel is the kind of the error for an unknown level.
const KindLevel Kind = "level"

// Error is a failure to set up a log.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("logs: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Log is a sampled logger with a bounded, non-blocking output.
type Log struct {
	*zap.Logger
	Level zap.AtomicLevel

	output  *output
	dropped droppedCounts
}

// Options configure a Log. The zero value writes lines at level info to standard output.
type Options struct {
	Level    string    // debug, info, warn or error
	Instance string    // instance name, added to each line
	Output   io.Writer // nil for standard output
}

// Open returns a Log that must be closed with Close. The error is an *Error if the level is unknown.
func Open(options Options) (*Log, error) {
	log := &Log{Level: zap.NewAtomicLevel()}
	if options.Level != "" {
		level, err := zapcore.ParseLevel(options.Level)
		if err != nil {
			return nil, &Error{Op: "open", Kind: KindLevel, Err: err}
		}
		log.Level.SetLevel(level)
	}
	if options.Output == nil {
		options.Output = os.Stdout
	}
	log.output = newOutput(options.Output, log.reportDropped)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), log.output, log.Level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(log.countSampled))
	log.Logger = zap.New(sampled, zap.ErrorOutput(zapcore.Lock(os.Stderr)))
	if options.Instance != "" {
		log.Logger = log.With(zap.String("instance", options.Instance))
	}
	return log, nil
}

// countSampled counts the lines that the sampler drops.
func (log *Log) countSampled(line zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		log.dropped.add(line.Message)
	}
}

// Dropped returns the number of lines dropped since the start by sampling and because the output was blocked or failed.
func (log *Log) Dropped() (sampled, blocked uint64) {
	return log.dropped.count(), log.output.dropped.Load()
}

// Register adds gauges for the numbers of dropped lines to a metrics registry.
func (log *Log) Register(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("log.lines-dropped{cause=sampled}", registry, func() int64 { return int64(log.dropped.count()) })
	metrics.NewRegisteredFunctionalGauge("log.lines-dropped{cause=output-blocked}", registry, func() int64 { return int64(log.output.dropped.Load()) })
}

// reportDropped logs the numbers of lines dropped since the last report, if there are any.
func (log *Log) reportDropped() {
	messages := log.dropped.take()
	blocked := log.output.takeDropped()
	if len(messages) == 0 && blocked == 0 {
		return
	}
	log.Warn("log: lines were dropped", zap.Uint64("output-blocked", blocked), zap.Any("sampled", messages))
}

// Close flushes pending lines, waiting at most closeTimeout, and stops the output.
func (log *Log) Close() {
	log.reportDropped()
	log.output.close()
}

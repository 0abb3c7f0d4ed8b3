// Package logs writes structured lines to standard output within bounds: neither many lines nor a reader that is slow or
// gone delays or grows the process.
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

// Volume of the log.
const (
	// linesFirst is how many lines of one message are written in a second. One instance explains up to 50 requests a second
	// (see adapters/caller/http), with a few lines of each message.
	linesFirst = 400
	// linesThereafter is of how many lines beyond those one is written.
	linesThereafter = 100
)

// Kind classifies an Error.
type Kind string

// KindLevel is the kind of a level that there is not.
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

// Log is a logger with its bounds.
type Log struct {
	*zap.Logger
	Level zap.AtomicLevel

	output  *output
	dropped dropped
}

// Options of a log; the zero value writes lines of the level info to standard output.
type Options struct {
	Level    string    // debug, info, warn or error
	Instance string    // name of the instance, in each line
	Output   io.Writer // nil for standard output
}

// Open begins a log; Close ends it.
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
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, linesFirst, linesThereafter, zapcore.SamplerHook(log.sampled))
	log.Logger = zap.New(sampled, zap.ErrorOutput(zapcore.Lock(os.Stderr)))
	if options.Instance != "" {
		log.Logger = log.With(zap.String("instance", options.Instance))
	}
	return log, nil
}

// sampled counts a line that the sampler dropped.
func (log *Log) sampled(line zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		log.dropped.add(line.Message)
	}
}

// Dropped returns how many lines were dropped since the start: by the bound of lines a second, and because the output took
// none.
func (log *Log) Dropped() (sampled, blocked uint64) {
	return log.dropped.count(), log.output.lost.Load()
}

// Register has metrics show how many lines were dropped.
func (log *Log) Register(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("log.lines-dropped{cause=sampled}", registry, func() int64 { return int64(log.dropped.count()) })
	metrics.NewRegisteredFunctionalGauge("log.lines-dropped{cause=output-blocked}", registry, func() int64 { return int64(log.output.lost.Load()) })
}

// reportDropped writes a line that tells how many lines were dropped since the last one, if any were.
func (log *Log) reportDropped() {
	messages := log.dropped.take()
	blocked := log.output.takeLost()
	if len(messages) == 0 && blocked == 0 {
		return
	}
	log.Warn("log: lines were dropped", zap.Uint64("output-blocked", blocked), zap.Any("sampled", messages))
}

// Close writes what waits, for a short time at most, and ends the log.
func (log *Log) Close() {
	log.reportDropped()
	log.output.close()
}

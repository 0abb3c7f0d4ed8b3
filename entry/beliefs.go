package entry

import (
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// beliefs logs what this instance comes to believe as the decider of slices.
type beliefs struct {
	name string // of this instance
	log  *zap.Logger
}

// decider tells that this instance decides for a slice from now on, or no longer does.
func (beliefs *beliefs) decider(slice home.Slice, alone bool, before, after string) {
	if before == after || alone || before != beliefs.name && after != beliefs.name {
		return
	}
	message := "home: this instance decides for a slice from now on"
	if after != beliefs.name {
		message = "home: another instance decides for a slice from now on"
	}
	beliefs.log.Info(message, zap.Stringer("slice", slice), zap.String("before", before), zap.String("after", after))
}

// changes tells what a slice's pool has come to believe.
func (beliefs *beliefs) changes(slice home.Slice, alone bool, changes []pool.Change) {
	for i := range changes {
		change := &changes[i]
		message := "backend server: it " + change.Belief.String()
		switch change.Belief {
		case pool.EjectedNow:
			message = "backend server: it is ejected"
		case pool.Readmitted:
			message = "backend server: it is readmitted"
		case pool.Crashes:
			message = "request: it is quarantined, backend servers end while they run it"
		}
		fields := []zap.Field{
			zap.Stringer("slice", slice), zap.String("backend-server", change.Server), zap.Bool("decided-alone", alone),
			zap.Float64("chance-of-failure", change.Chance), zap.Float64("failed-of-late", change.Failed), zap.Float64("attempts-of-late", change.Ended),
			zap.Float64("failure-rate-of-others", change.OtherRate), zap.Float64("evidence", change.Evidence),
			zap.Duration("since-last-answer", change.SinceAnswer),
		}
		if change.Entry != "" {
			fields = append(fields, zap.String("reported-by", change.Entry), zap.Stringer("outcome", change.Outcome))
		}
		if !change.Until.IsZero() {
			fields = append(fields, zap.Time("until", change.Until))
		}
		if change.Fingerprint != 0 {
			fields = append(fields, zap.Uint64("fingerprint", change.Fingerprint))
		}
		beliefs.log.Info(message, fields...)
	}
}

package entry

import (
	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// changeLog tells what this instance comes to believe as the decider of slices.
type changeLog struct {
	name string // of this instance
	log  *zap.Logger
}

// decider tells that this instance decides for a slice from now on, or no longer does.
func (changeLog *changeLog) decider(slice home.Slice, alone bool, before, after string) {
	if before == after || alone || before != changeLog.name && after != changeLog.name {
		return
	}
	message := "home: this instance decides for a slice from now on"
	if after != changeLog.name {
		message = "home: another instance decides for a slice from now on"
	}
	changeLog.log.Info(message, zap.Stringer("slice", slice), zap.String("before", before), zap.String("after", after))
}

// changeMessages are the lines on changes.
var changeMessages = map[pool.ChangeKind]string{
	pool.ChangeFailing:     "backend server: likely failing, used last",
	pool.ChangeHealthy:     "backend server: likely healthy again",
	pool.ChangeEjected:     "backend server: ejected",
	pool.ChangeReadmitted:  "backend server: readmitted",
	pool.ChangeLeaving:     "backend server: leaving, by its own word",
	pool.ChangeQuarantined: "request: quarantined, backend servers end while they run it",
}

// changes tells what a slice's pool has come to believe.
func (changeLog *changeLog) changes(slice home.Slice, alone bool, changes []pool.Change) {
	for i := range changes {
		change := &changes[i]
		fields := []zap.Field{
			zap.Stringer("slice", slice), zap.String("backend-server", change.Server), zap.Bool("decided-alone", alone),
			zap.Float64("chance-of-failure", change.FailureProbability), zap.Float64("failed-of-late", change.RecentFailures), zap.Float64("attempts-of-late", change.RecentAttempts),
			zap.Float64("failure-rate-of-others", change.OthersFailureRate), zap.Float64("evidence", change.Evidence),
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
		changeLog.log.Info(changeMessages[change.Kind], fields...)
	}
}

package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/sequoiaspan/sequoiaspan/core/home"
	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

// changeLog logs changes of slice homes and of the state of their backend servers, and the use of retry budgets.
type changeLog struct {
	name string // of this instance
	log  *zap.Logger
}

// logHome logs that this instance became the home of a slice or is no longer its home.
func (changeLog *changeLog) logHome(slice home.Slice, local bool, before, after string) {
	if before == after || local || before != changeLog.name && after != changeLog.name {
		return
	}
	message := "home: this instance became the home of a slice"
	if after != changeLog.name {
		message = "home: another instance became the home of a slice"
	}
	changeLog.log.Info(message, zap.Stringer("slice", slice), zap.String("before", before), zap.String("after", after))
}

// changeMessages holds the log message for each kind of change.
var changeMessages = map[pool.ChangeKind]string{
	pool.ChangeFailing:     "backend server: likely failing, used last",
	pool.ChangeHealthy:     "backend server: likely healthy again",
	pool.ChangeEjected:     "backend server: ejected",
	pool.ChangeReadmitted:  "backend server: readmitted",
	pool.ChangeLeaving:     "backend server: reported that it is leaving",
	pool.ChangeQuarantined: "request: quarantined because backend servers stop while processing it",
}

// logChanges logs state changes that a slice's pool detected.
func (changeLog *changeLog) logChanges(slice home.Slice, local bool, changes []pool.Change) {
	for i := range changes {
		change := &changes[i]
		fields := []zap.Field{
			zap.Stringer("slice", slice), zap.String("backend-server", change.Server), zap.Bool("decided-alone", local),
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

// logRetryUse logs what the retry budget of a slice's pool granted and refused. The limit on retries covers all instances together, so the lines of
// all of them add up to what backend servers received.
func (changeLog *changeLog) logRetryUse(now time.Time, slice home.Slice, local bool, use pool.RetryUse) {
	changeLog.log.Info("home: retry budget used",
		zap.Stringer("slice", slice), zap.Bool("decided-alone", local), zap.Duration("within", now.Sub(use.Since)),
		zap.Int("first-attempts", use.Earned), zap.Float64("received", use.Received), zap.Int("retries", use.Granted), zap.Int("queued-retries", use.Waited),
		zap.Int("refused", use.Refused), zap.Float64("left", use.Available))
}

// logLocalityUse logs how many asks waited for a slot of their own failure domain, and how many left it because it had none.
func (changeLog *changeLog) logLocalityUse(now time.Time, slice home.Slice, use pool.LocalityUse) {
	changeLog.log.Info("home: a failure domain had no free slot",
		zap.Stringer("slice", slice), zap.Duration("within", now.Sub(use.Since)), zap.Int("waited-and-stayed", use.Stayed), zap.Int("left", use.Left),
		zap.Int("left-after-a-wait", use.LeftWaiting))
}

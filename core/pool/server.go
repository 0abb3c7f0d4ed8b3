package pool

import (
	"time"
)

// Cold start, slow start and overload.
const (
	rampDuration         = 10 * time.Second      // slow start from one slot to all, after a start or a readmission
	shedFactor           = 0.7                   // share of the slots in use that remains after an overload rejection
	shedRecoveryInterval = time.Second           // for each slot to return after an overload rejection
	minBackoff           = 20 * time.Millisecond // after an overload rejection, doubled with each consecutive one
	maxBackoff           = 2 * time.Second
	maxColdStart         = time.Minute
	coldSilenceFactor    = 10 // times suspectAfter that an answer may take during a cold start
	warmAnswers          = 10 // consecutive timely answers that end a cold start
)

// phase is a server's phase between service and ejection.
type phase uint8

const (
	inService phase = iota
	ejected         // no work until the deadline
	probing         // a probe is in flight
	trial           // single idempotent requests
)

// server is a backend server with its load and evidence.
type server struct {
	member           Member
	slots            int
	inFlight         int
	verifying        int       // verifications in flight
	verifyAt         time.Time // earliest next verification
	lastPathTrial    time.Time
	phase            phase
	phaseDeadline    time.Time
	readmittedAt     time.Time // when service resumed after an ejection
	ejections        int       // consecutive ejections
	trialsLeft       int       // trial requests still required
	rampFrom         time.Time // slow start
	rampUntil        time.Time
	shedLimit        float64 // slots left after overload rejections, 0 for all
	shedAt           time.Time
	consecutiveSheds int       // consecutive overload rejections
	backoffUntil     time.Time // no work before
	lastGrant        time.Time
	uses             uses
	coldUntil        time.Time            // end of the cold start, until which slow answers are no failures
	promptAnswers    int                  // consecutive timely answers in a cold start
	slowAt           time.Time            // latest slow answer in a cold start
	down             bool                 // refused a connection or failed a probe since its latest answer
	freshUntil       time.Time            // requests need new connections until then
	listedLeaving    bool                 // the instance list shows it as leaving
	pauses           map[string]time.Time // end of requested pauses by entry instance
	connections      connections
	evidence         evidence
	health           health
	failing          bool // by failure probability, see updateFailing
	recentAnswers    recentAnswers
	answeredAt       time.Time // latest timely answer
	failedAt         time.Time // latest failure
	failedGrantedAt  time.Time // grant time of the attempt that failed last
	events           rate
	rejectedAt       time.Time // latest rejection, with queue=target
	firstBytes       firstBytes
}

// startRamp begins a slow start.
func (server *server) startRamp(now time.Time) {
	server.rampFrom, server.rampUntil = now, now.Add(rampDuration)
}

// start initializes a new server. The first servers of a pool count as warm, unless the platform gives the end of their cold start.
func (server *server) start(now time.Time, member Member, first bool) {
	switch {
	case !member.WarmAt.IsZero():
		if now.Before(member.WarmAt) {
			server.rampUntil, server.rampFrom = member.WarmAt, now
			server.startCold(now)
		}
	case !first:
		server.startRamp(now)
		server.startCold(now)
	}
}

// startCold begins a cold start.
func (server *server) startCold(now time.Time) {
	server.coldUntil = now.Add(maxColdStart)
	server.promptAnswers = 0
	server.down = false
}

// cold reports whether the server is in a cold start, in which it may be slow.
func (server *server) cold(now time.Time) bool {
	return now.Before(server.coldUntil)
}

// recordSlow records that a server in a cold start was slow.
func (server *server) recordSlow(now time.Time) {
	server.slowAt = now
	server.promptAnswers = 0
}

// recordPromptAnswer counts a timely answer in a cold start. Enough consecutive ones end it.
func (server *server) recordPromptAnswer(now time.Time) {
	server.promptAnswers++
	if server.promptAnswers >= warmAnswers {
		server.coldUntil = now
	}
}

// suspect reports whether there is enough evidence against the server to verify it.
func (server *server) suspect(now time.Time) bool {
	return server.evidence.overall.value(now) >= suspectScore
}

// limit returns the number of requests that the server may run now.
func (server *server) limit(now time.Time) int {
	if server.phase == trial {
		return 1
	}
	if server.phase != inService {
		return 0
	}
	if server.shedLimit == 0 && !now.Before(server.rampUntil) {
		return server.slots
	}
	limit := float64(server.slots) * server.rampShare(now)
	if server.shedLimit > 0 {
		limit = min(limit, server.shedLimit+float64(now.Sub(server.shedAt))/float64(shedRecoveryInterval))
	}
	return max(1, int(limit))
}

// rampShare returns the share of slots that the slow start allows, from 0 to 1.
func (server *server) rampShare(now time.Time) float64 {
	left := server.rampUntil.Sub(now)
	if left <= 0 {
		return 1
	}
	return 1 - float64(left)/float64(server.rampUntil.Sub(server.rampFrom))
}

// shed reduces the server's slots after an overload rejection and starts a backoff, which doubles with consecutive rejections.
func (server *server) shed(now time.Time) {
	server.shedLimit = max(1, float64(server.limit(now))*shedFactor)
	server.shedAt = now
	server.consecutiveSheds++
	server.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(server.consecutiveSheds-1, 16)))
}

// acceptsWork reports whether the server is neither leaving nor in backoff.
func (server *server) acceptsWork(now time.Time) bool {
	return !server.member.Leaving && !now.Before(server.backoffUntil)
}

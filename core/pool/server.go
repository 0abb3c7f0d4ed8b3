package pool

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Cold start, slow start and load shedding.
const (
	rampLength   = 10 * time.Second      // from one slot to all after a start or a readmission
	shedFactor   = 0.7                   // slots in use are cut to this share when the server sheds
	shedRecovery = time.Second           // for each slot to come back after shedding
	firstRest    = 20 * time.Millisecond // without work after a refusal, doubled with each in a row
	longestRest  = 2 * time.Second
	coldLength   = time.Minute // longest cold start
	coldPatience = 10          // times the time of suspicion that an answer may take during a cold start
	warmAnswers  = 10          // in time and in a row that end a cold start
)

// phase is where a server stands between service and ejection.
type phase uint8

const (
	inService phase = iota
	ejected         // no work until the deadline
	probing         // a probe is out
	trial           // single idempotent requests
)

// server is a backend server with its load and evidence.
type server struct {
	member        Member
	slots         int
	inFlight      int
	verifying     int       // grants out to confirm or clear a suspicion
	verifyAt      time.Time // no verification before
	lastPathTrial time.Time
	phase         phase
	until         time.Time // deadline of the phase
	since         time.Time // start of service after an ejection
	ejections     int       // ejections in a row
	trials        int       // trial requests still to pass
	rampFrom      time.Time // slow start
	rampUntil     time.Time
	shedLimit     float64 // slots left by shedding, 0 for all
	shedAt        time.Time
	sheds         int       // refusals in a row
	restUntil     time.Time // no work before
	lastGrant     time.Time
	touches       touches
	coldUntil     time.Time            // slowness is no failure before
	inTime        int                  // answers in time in a row while cold
	doubtedAt     time.Time            // latest slowness while cold
	down          bool                 // refused a connection or failed a probe since it last answered
	freshUntil    time.Time            // new connections only until then
	listedLeaving bool                 // by the list, not only by its own word
	pauses        map[string]time.Time // ends of the pauses that it wants of entry instances
	connections   connections
	evidence      evidence
	fault         fault
	fails         bool // by the chance that it fails a request, see noteChance
	recentAnswers recentAnswers
	answeredAt    time.Time // latest answer in time
	failedAt      time.Time // latest failure
	failedSentAt  time.Time // when the attempt of the latest failure was granted
	events        rate
	firstBytes    *hdrhistogram.WindowedHistogram
	rotateAt      time.Time
}

// startRamp begins slow start.
func (server *server) startRamp(now time.Time) {
	server.rampFrom, server.rampUntil = now, now.Add(rampLength)
}

// start begins the life of a server. Those that a pool knows first are taken for warm, unless the platform says when they are.
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
	server.coldUntil = now.Add(coldLength)
	server.inTime = 0
	server.down = false
}

// cold reports whether the server has started lately and may be slow for that.
func (server *server) cold(now time.Time) bool {
	return now.Before(server.coldUntil)
}

// doubt notes that a cold server was slow.
func (server *server) doubt(now time.Time) {
	server.doubtedAt = now
	server.inTime = 0
}

// warm counts an answer in time; enough of them in a row end the cold start.
func (server *server) warm(now time.Time) {
	server.inTime++
	if server.inTime >= warmAnswers {
		server.coldUntil = now
	}
}

// suspect reports whether there is evidence against the server.
func (server *server) suspect(now time.Time) bool {
	return server.evidence.overall.value(now) >= suspectScore
}

// limit returns how many requests the server may run now.
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
		limit = min(limit, server.shedLimit+float64(now.Sub(server.shedAt))/float64(shedRecovery))
	}
	return max(1, int(limit))
}

// rampShare returns the share of slots that slow start allows, 0 to 1.
func (server *server) rampShare(now time.Time) float64 {
	left := server.rampUntil.Sub(now)
	if left <= 0 {
		return 1
	}
	return 1 - float64(left)/float64(server.rampUntil.Sub(server.rampFrom))
}

// shed cuts the slots after the server refused work for load. One that goes on refusing gets none for a while.
func (server *server) shed(now time.Time) {
	server.shedLimit = max(1, float64(server.limit(now))*shedFactor)
	server.shedAt = now
	server.sheds++
	server.restUntil = now.Add(min(longestRest, firstRest<<min(server.sheds-1, 16)))
}

// open reports whether the server takes new work at all.
func (server *server) open(now time.Time) bool {
	return !server.member.Leaving && !now.Before(server.restUntil)
}

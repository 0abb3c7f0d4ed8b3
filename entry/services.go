package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaspan/sequoiaspan/core/pool"
)

const serviceShards = 8

// firstStartQuiet is for how long a fleet that starts for the first time counts as having made no retries.
const firstStartQuiet = time.Hour

// services holds what this instance keeps for each service that it asks for, in shards, each with its own lock.
type services struct {
	startedAt time.Time // this instance has made no retries since
	shards    [serviceShards]serviceShard
}

type serviceShard struct {
	mu     sync.Mutex
	byName map[string]*service
}

type service struct {
	allowance    *pool.Allowance // of this instance's part of the retry burst
	suspectAfter time.Duration   // silence that made a server suspect as of the latest grant
}

func (services *services) init(startedAt time.Time) {
	services.startedAt = startedAt
	for i := range services.shards {
		services.shards[i].byName = map[string]*service{}
	}
}

// with calls f with a service's state under its lock.
func (services *services) with(name string, f func(*service)) {
	shard := &services.shards[xxhash.Sum64String(name)%serviceShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.byName[name]
	if state == nil {
		state = &service{allowance: pool.NewAllowance(services.startedAt)}
		shard.byName[name] = state
	}
	f(state)
}

// takeAllowance takes the tokens of a service's retry burst that go with an ask, see pool.Allowance.
func (services *services) takeAllowance(now time.Time, plan *plan, name string, retry bool) (tokens float64) {
	services.with(name, func(s *service) {
		tokens = s.allowance.Take(now, plan.retries.Burst, plan.askers.Count(now), retry)
	})
	return tokens
}

// suspectAfter returns the silence after which a server of a service is suspect, as a grant says. While this instance is stopping it does not become
// shorter: its slices have new homes, which know no answer times yet.
func (services *services) suspectAfter(name string, granted time.Duration, stopping bool) (after time.Duration) {
	services.with(name, func(s *service) {
		if !stopping || granted > s.suspectAfter {
			s.suspectAfter = granted
		}
		after = s.suspectAfter
	})
	return after
}

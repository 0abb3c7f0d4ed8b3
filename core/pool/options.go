package pool

import (
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Policy is the part of a service rule that a pool follows.
type Policy struct {
	Floor       float64
	Slots       int
	Connections int
	Ejection    rules.Ejection
	Placement   rules.Placement
	Limit       float64       // requests per second over the slice, 0 for none
	Wait        time.Duration // longest wait for a slot
	Servers     int           // of the whole service, 0 for those of the slice
	RetryShare  float64       // retries and hedges earned by each first attempt
	RetryBurst  float64       // retries and hedges that may be spent at once
}

// PolicyOf returns the policy of a service rule whose backend servers form this many slices.
func PolicyOf(service *rules.Service, slices int) Policy {
	return Policy{
		Floor: service.Floor, Slots: service.Slots, Connections: service.MaxConnections,
		Ejection: service.Ejection, Placement: service.Placement, Limit: service.RateLimit / float64(max(1, slices)), Wait: service.MaxWait,
	}
}

func (policy Policy) withDefaults() Policy {
	if policy == (Policy{}) {
		policy.Floor = rules.DefaultFloor
	}
	if policy.RetryShare <= 0 {
		policy.RetryShare = defaultRetryShare
	}
	if policy.RetryBurst <= 0 {
		policy.RetryBurst = defaultRetryBurst
	}
	if policy.Slots <= 0 {
		policy.Slots = rules.DefaultSlots
	}
	if policy.Wait <= 0 {
		policy.Wait = rules.DefaultMaxWait
	}
	if policy.Connections <= 0 {
		policy.Connections = rules.DefaultMaxConnections
	}
	return policy
}

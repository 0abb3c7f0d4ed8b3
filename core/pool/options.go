package pool

import (
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Policy is the part of a service rule that applies to a pool.
type Policy struct {
	Floor       float64
	Slots       int
	Connections int
	Ejection    rules.Ejection
	Placement   rules.Placement
	Queue       rules.QueueOrder
	Limit       float64       // requests per second to the slice, 0 for no limit
	Wait        time.Duration // maximum time in the queue for a slot
	Servers     int           // of the whole service, 0 for those of the slice
	RetryShare  float64       // tokens for retries and hedges that each first attempt earns
	Locality    bool          // proven placement weighs BytePrice, and asks may wait for a slot of their own failure domain
	BytePrice   float64       // of a byte between failure domains, in the unit of a request's worth
}

// PolicyOf returns the policy for one of the given number of slices of a service.
func PolicyOf(service *rules.Service, slices int) Policy {
	return Policy{
		Floor: service.Floor, Slots: service.Slots, Connections: service.MaxConnections,
		Ejection: service.Ejection, Placement: service.Placement, Queue: service.Queue, Limit: service.RateLimit / float64(max(1, slices)), Wait: service.MaxWait,
	}
}

func (policy Policy) withDefaults() Policy {
	if policy == (Policy{}) {
		policy.Floor = rules.DefaultFloor
	}
	if policy.RetryShare <= 0 {
		policy.RetryShare = defaultRetryShare
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

package locality

import "time"

// Costs, in the unit of a request's worth.
const (
	// networkCost is the cost of leaving the failure domain apart from its bytes: a longer way, and a network that may fail on its own.
	networkCost = 0.04
	// waitCost is the cost of a second's wait: a request that is late by more than its target latency of 1 to 2 s earns about a third
	// of its worth.
	waitCost = 0.5
	// maxLocalWait limits the wait for a slot of the own failure domain. In the plays of TestMeasureLeaving longer waits save
	// bytes below saturation, and cost bytes and waits beyond it.
	maxLocalWait = 100 * time.Millisecond

	// Bytes of a response between failure domains, by the kind of route. Small ones have 400 B to 5 KB.
	smallResponse = 3_000
	largeResponse = 90_000
)

// Prices are what leaving a failure domain costs. The zero value prices no bytes.
type Prices struct {
	Byte float64 // of a byte between failure domains, in the unit of a request's worth
}

// Leaving returns the cost of serving a request outside its failure domain.
func (prices Prices) Leaving(large bool) float64 { return networkCost + prices.Response(large) }

// Response returns the price of the bytes of a response between failure domains.
func (prices Prices) Response(large bool) float64 {
	if large {
		return prices.Byte * largeResponse
	}
	return prices.Byte * smallResponse
}

// Domain is a failure domain's part of a slice, none of whose slots is free.
type Domain struct {
	Slots    int           // in service
	Waiting  int           // requests that wait for one of them
	HoldTime time.Duration // mean time for which a slot is held
}

// expectedWait returns the expected wait of another request for a slot of the domain.
func (domain Domain) expectedWait() time.Duration {
	return time.Duration(float64(domain.Waiting+1) / float64(max(1, domain.Slots)) * float64(domain.HoldTime))
}

// Leaver decides which requests leave a failure domain that has no free slot, while others have. It responds to the expected wait for a
// slot of the domain, and so to the demand of its callers and to servers that it loses. The zero value is ready to use.
type Leaver struct {
	carry float64 // share of a request that has yet to leave
}

// Stays reports whether the next request waits for a slot of its own domain, and for how long at most, to save the given price of
// its response's bytes. The way to another domain takes a few milliseconds, and counts for nothing beside it.
//
// Up to half of the wait that is worth the price, all requests stay. Beyond it a share leaves, which grows to all of them. The share
// follows the wait without a threshold at which it could flap: what leaves shortens the wait.
func (leaver *Leaver) Stays(domain Domain, price float64) (limit time.Duration, stays bool) {
	limit = min(maxLocalWait, time.Duration(price/waitCost*float64(time.Second)))
	if domain.Slots == 0 || limit <= 0 {
		return 0, false
	}
	half := limit / 2
	leaver.carry += min(1, max(0, float64(domain.expectedWait()-half)/float64(half)))
	if leaver.carry >= 1 {
		leaver.carry--
		return 0, false
	}
	return limit, true
}

package entry

import "time"

// Intervals configures periodic tasks and timeouts of an instance. Zero values use the defaults.
type Intervals struct {
	List        time.Duration // between reads of the instance list
	Table       time.Duration // between reads of the key table
	Tick        time.Duration // between ticks of the pools
	Renew       time.Duration // between renewals of grants
	PeerTimeout time.Duration // after which an unresponsive peer is skipped
	Retry       time.Duration // between attempts while the store is unavailable
}

// Defaults of Intervals.
const (
	DefaultListInterval  = time.Second
	DefaultTableInterval = 3 * time.Second
	DefaultTickInterval  = 50 * time.Millisecond
	DefaultRenewInterval = 2 * time.Second
	DefaultPeerTimeout   = 100 * time.Millisecond
	DefaultRetryInterval = time.Second
)

func (intervals Intervals) withDefaults() Intervals {
	fill := func(value *time.Duration, defaultValue time.Duration) {
		if *value <= 0 {
			*value = defaultValue
		}
	}
	fill(&intervals.List, DefaultListInterval)
	fill(&intervals.Table, DefaultTableInterval)
	fill(&intervals.Tick, DefaultTickInterval)
	fill(&intervals.Renew, DefaultRenewInterval)
	fill(&intervals.PeerTimeout, DefaultPeerTimeout)
	fill(&intervals.Retry, DefaultRetryInterval)
	return intervals
}

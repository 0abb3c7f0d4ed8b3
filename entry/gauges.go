package entry

import "github.com/rcrowley/go-metrics"

// registerGauges registers the gauges of this instance.
func (entry *Entry) registerGauges() {
	gauges := map[string]func() int64{
		"rules.version":         func() int64 { return int64(entry.rules.load().version) },
		"entry.instances":       func() int64 { return int64(len(entry.members.plan().entries)) },
		"entry.backend-servers": func() int64 { return int64(len(entry.members.plan().listed)) },
		"entry.grants-held":     func() int64 { return int64(entry.held.count()) },
		"entry.delay-ms":        func() int64 { return entry.Delay().Milliseconds() },
		"entry.queue-delay-ms":  func() int64 { return entry.QueueDelay().Milliseconds() },
	}
	for name, value := range gauges {
		metrics.NewRegisteredFunctionalGauge(name, entry.Metrics, value)
	}
	if entry.Feed != nil {
		metrics.NewRegisteredFunctionalGaugeFloat64("lists.age-seconds", entry.Metrics, func() float64 { return entry.ListAge(entry.Clock()).Seconds() })
	}
}

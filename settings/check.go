package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
)

// Bounds of values.
const (
	maxNameBytes      = 64
	leastHeaderBytes  = 4 << 10
	mostHeaderBytes   = 1 << 20
	mostConnections   = 1 << 20
	leastInterval     = 10 * time.Millisecond
	mostInterval      = 10 * time.Second
	mostTableInterval = idempotency.LeaseDuration / 2 // an owner serves for so long after a reading, twice over
	mostHeaderTime    = 10 * time.Minute
	leastGrace        = time.Second
	mostGrace         = time.Hour
	leastKeep         = 100 * time.Millisecond
	mostKeep          = time.Minute
	mostAddresses     = 64
)

// checker collects faults.
type checker struct {
	file, text string
	faults     []error
}

func (checker *checker) fail(field, reason string) {
	checker.faults = append(checker.faults, &Error{
		Op: "check", Kind: KindValue, File: checker.file, Line: lineOf(checker.text, field), Field: field, Reason: reason,
	})
}

// check returns every fault of the values.
func (settings *Settings) check(file, text string) []error {
	c := &checker{file: file, text: text}
	c.name("name", settings.Name)
	c.name("failure-domain", settings.Domain)
	if settings.Region != "" {
		c.name("region", settings.Region)
	}
	settings.checkAddresses(c)
	settings.checkLimits(c)
	settings.checkTraces(c)
	settings.checkService(c)
	switch settings.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.fail("log-level", "use debug, info, warn or error")
	}
	if settings.Processor < 0 {
		c.fail("processor-cores", "use 0 for unknown, or the cores that the instance gets, such as 0.5")
	}
	if settings.GoMemoryLimit < 0 {
		c.fail("memory-limit-bytes", "use 0 for none, or a number of bytes")
	}
	return c.faults
}

func (checker *checker) name(field, value string) {
	if value == "" {
		checker.fail(field, "it must be set")
		return
	}
	valid := len(value) <= maxNameBytes
	for _, r := range value {
		valid = valid && (r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '.')
	}
	if !valid {
		checker.fail(field, fmt.Sprintf("use up to %d lower-case letters, digits, hyphens and dots", maxNameBytes))
	}
}

func (settings *Settings) checkAddresses(c *checker) {
	own := []struct {
		field   string
		address netip.AddrPort
	}{
		{"caller-address", settings.Caller}, {"peer-address", settings.Peer}, {"operator-address", settings.Operator},
	}
	for i, a := range own {
		c.address(a.field, a.address)
		for _, b := range own[:i] {
			if a.address.IsValid() && a.address == b.address {
				c.fail(a.field, "it is the same as "+b.field)
			}
		}
	}
	if settings.Caller.Addr().IsUnspecified() || settings.Peer.Addr().IsUnspecified() {
		c.fail("caller-address", "caller and peer addresses are told to others and must name one interface")
	}
	if settings.AdvertisedPeer.IsValid() {
		c.address("advertised-peer-address", settings.AdvertisedPeer)
	}
	c.address("store-address", settings.Store)
	switch settings.Platform {
	case PlatformHTTP:
		c.address("instance-list-address", settings.Instances)
	case PlatformMetadataStore:
		c.address("ready-address", settings.Ready)
		c.address("directory-address", settings.Directory)
	default:
		c.fail("platform", fmt.Sprintf("use %s or %s", PlatformHTTP, PlatformMetadataStore))
	}
}

// checkService checks what bounds the service given to callers.
func (settings *Settings) checkService(c *checker) {
	if settings.Grace != 0 {
		c.between("grace", settings.Grace, leastGrace, mostGrace)
	}
	c.between("keep", settings.Callers.Keep, leastKeep, mostKeep)
	c.within("addresses", settings.Callers.Addresses, 1, mostAddresses)
	if !(settings.Retries.Share >= 0 && settings.Retries.Share <= 1) {
		c.fail("share", "use a share of the first attempts from 0 to 1")
	}
	if !(settings.Retries.Burst >= 0) {
		c.fail("burst", "use a number of attempts, 0 or more")
	}
	if !(settings.Floor >= 0 && settings.Floor <= 1) {
		c.fail("floor", "use a share of the healthy capacity from 0 to 1")
	}
}

func (checker *checker) address(field string, address netip.AddrPort) {
	if !address.IsValid() {
		checker.fail(field, "it must be set to an IP number and port, such as 10.0.0.7:8080")
		return
	}
	if address.Port() == 0 {
		checker.fail(field, "the port must not be 0")
	}
}

func (settings *Settings) checkLimits(c *checker) {
	limits := settings.Limits
	c.within("header-bytes", limits.HeaderBytes, leastHeaderBytes, mostHeaderBytes)
	c.within("caller-connections", limits.CallerConnections, 1, mostConnections)
	c.within("peer-sessions", limits.PeerSessions, 1, mostConnections)
	c.between("header-time", limits.HeaderTime, leastInterval, mostHeaderTime)
	c.between("idle-time", limits.IdleTime, leastInterval, mostHeaderTime)
	c.between("instance-list", settings.Intervals.InstanceList, leastInterval, mostInterval)
	c.between("key-table", settings.Intervals.KeyTable, leastInterval, mostTableInterval)
	c.between("peer-silence", settings.Intervals.PeerSilence, leastInterval, mostInterval)
}

func (checker *checker) within(field string, value, least, most int) {
	if value < least || value > most {
		checker.fail(field, fmt.Sprintf("use a number from %d to %d", least, most))
	}
}

func (checker *checker) between(field string, value Duration, least, most time.Duration) {
	if time.Duration(value) < least || time.Duration(value) > most {
		checker.fail(field, fmt.Sprintf("use a duration from %s to %s", least, most))
	}
}

func (settings *Settings) checkTraces(c *checker) {
	switch settings.Traces.Exporter {
	case "off", "stdout":
	case "otlp":
		if _, err := netip.ParseAddrPort(settings.Traces.Endpoint); err != nil {
			c.fail("endpoint", "otlp needs a collector's IP number and port")
		}
	default:
		c.fail("exporter", "use off, stdout or otlp")
	}
}

package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
)

// Limits of values.
const (
	maxNameBytes         = 64
	minHeaderBytes       = 4 << 10
	maxHeaderBytes       = 1 << 20
	maxConnections       = 1 << 20
	minInterval          = 10 * time.Millisecond
	maxInterval          = 10 * time.Second
	maxKeyTableInterval  = idempotency.LeaseDuration / 2 // an owner stops serving LeaseDuration after its last read of the table
	maxConnectionTimeout = 10 * time.Minute
	minGrace             = time.Second
	maxGrace             = time.Hour
	minAnswerTTL         = 100 * time.Millisecond
	maxAnswerTTL         = time.Minute
	maxAddresses         = 64
	minMemory            = 32 << 20 // an idle process takes up about 25 MB
	maxMemory            = 1 << 44  // bytes
	minHeadMemory        = 1 << 20  // 64 of the largest ordinary heads
	maxBytePrice         = 0.001    // a response of 1 KB is worth a request
	maxPipelineDepth     = 64
)

// checker collects errors.
type checker struct {
	file, text string
	faults     []error
}

func (checker *checker) fail(field, reason string) {
	checker.faults = append(checker.faults, &Error{
		Op: "check", Kind: KindValue, File: checker.file, Line: lineOf(checker.text, field), Field: field, Reason: reason,
	})
}

// check validates the values and returns all errors.
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
	if settings.ProcessorCores < 0 {
		c.fail("processor-cores", "use 0 for unknown, or the cores that the instance gets, such as 0.5")
	}
	if settings.GoMemoryLimit < 0 {
		c.fail("memory-limit-bytes", "use 0 for none, or a number of bytes")
	}
	settings.checkMemory(c)
	return c.faults
}

func (settings *Settings) checkMemory(c *checker) {
	if settings.MemoryBytes != 0 && settings.MemoryMB != 0 {
		c.fail("memory-mb", "it and memory-bytes are the same in other units; set one")
	}
	switch memory := settings.Memory(); {
	case settings.MemoryBytes < 0 || !(settings.MemoryMB >= 0 && settings.MemoryMB <= maxMemory>>20) || memory > maxMemory:
		c.fail("memory-bytes", fmt.Sprintf("memory-bytes and memory-mb must be 0 for what the operating system reports, or up to %d MB", maxMemory>>20))
	case memory > 0 && memory < minMemory:
		c.fail("memory-bytes", fmt.Sprintf("the machine needs %d MB or more; memory-bytes is in bytes, memory-mb in MB", minMemory>>20))
	case memory > 0 && settings.Limits.HeadMemoryBytes >= memory:
		c.fail("head-memory-bytes", "it must be less than the machine's memory")
	}
	if limit := settings.Limits.HeadMemoryBytes; limit != 0 && (limit < minHeadMemory || limit > maxMemory) {
		c.fail("head-memory-bytes", fmt.Sprintf("use 0 for a share of the machine's memory, or %d or more bytes", minHeadMemory))
	}
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
		c.fail("caller-address", "caller and peer addresses are advertised and must name one interface")
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

// Limits of the quota window.
const (
	minQuotaWindow = time.Second
	maxQuotaWindow = time.Hour
)

func (settings *Settings) checkQuotas(c *checker) {
	c.checkDuration("window", settings.Quotas.Window, minQuotaWindow, maxQuotaWindow)
	if !(settings.Quotas.Overshoot >= 0 && settings.Quotas.Overshoot <= 1) {
		c.fail("overshoot", "use a fraction of the limit from 0 to 1")
	}
	if !(settings.Quotas.Slack >= 0) {
		c.fail("slack", "use a number of requests, 0 or more")
	}
}

// checkService checks the settings for shutdown, directory answers, retries and the floor.
func (settings *Settings) checkService(c *checker) {
	if settings.Grace != 0 {
		c.checkDuration("grace", settings.Grace, minGrace, maxGrace)
	}
	c.checkDuration("keep", settings.Callers.AnswerTTL, minAnswerTTL, maxAnswerTTL)
	c.checkInt("addresses", settings.Callers.MaxAddresses, 1, maxAddresses)
	c.checkInt("pipeline-depth", settings.Callers.PipelineDepth, 1, maxPipelineDepth)
	if !(settings.Retries.Share >= 0 && settings.Retries.Share <= 1) {
		c.fail("share", "use a share of the first attempts from 0 to 1")
	}
	if !(settings.Retries.Burst >= 0) {
		c.fail("burst", "use a number of attempts, 0 or more")
	}
	settings.checkQuotas(c)
	if !(settings.Locality.BytePrice >= 0 && settings.Locality.BytePrice <= maxBytePrice) {
		c.fail("byte-price", fmt.Sprintf("use the price of a byte from 0 to %g, where 1 is the worth of a request", maxBytePrice))
	}
	if !(settings.Floor >= 0 && settings.Floor <= 1) {
		c.fail("floor", "use a share of the healthy capacity from 0 to 1")
	}
}

func (checker *checker) address(field string, address netip.AddrPort) {
	if !address.IsValid() {
		checker.fail(field, "it must be set to an IP address and port, such as 10.0.0.7:8080")
		return
	}
	if address.Port() == 0 {
		checker.fail(field, "the port must not be 0")
	}
}

func (settings *Settings) checkLimits(c *checker) {
	limits := settings.Limits
	c.checkInt("header-bytes", limits.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.checkInt("caller-connections", limits.MaxCallerConnections, 1, maxConnections)
	c.checkInt("peer-sessions", limits.MaxPeerSessions, 1, maxConnections)
	c.checkInt("port-connections", limits.MaxPortConnections, 1, maxConnections)
	c.checkDuration("header-time", limits.HeaderTimeout, minInterval, maxConnectionTimeout)
	c.checkDuration("idle-time", limits.IdleTimeout, minInterval, maxConnectionTimeout)
	c.checkDuration("instance-list", settings.Intervals.InstanceList, minInterval, maxInterval)
	c.checkDuration("key-table", settings.Intervals.KeyTable, minInterval, maxKeyTableInterval)
	c.checkDuration("peer-silence", settings.Intervals.PeerSilence, minInterval, maxInterval)
}

func (checker *checker) checkInt(field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		checker.fail(field, fmt.Sprintf("use a number from %d to %d", lowest, highest))
	}
}

func (checker *checker) checkDuration(field string, value Duration, lowest, highest time.Duration) {
	if time.Duration(value) < lowest || time.Duration(value) > highest {
		checker.fail(field, fmt.Sprintf("use a duration from %s to %s", lowest, highest))
	}
}

func (settings *Settings) checkTraces(c *checker) {
	switch settings.Traces.Exporter {
	case "off", "stdout":
	case "otlp":
		if _, err := netip.ParseAddrPort(settings.Traces.Endpoint); err != nil {
			c.fail("endpoint", "otlp needs a collector's IP address and port")
		}
	default:
		c.fail("exporter", "use off, stdout or otlp")
	}
}

// Package settings reads and checks the settings file of an entry instance.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// Settings holds all settings of an entry instance.
type Settings struct {
	Name           string           `toml:"name"`
	Domain         string           `toml:"failure-domain"`
	Region         string           `toml:"region"`
	Caller         netip.AddrPort   `toml:"caller-address"`
	Peer           netip.AddrPort   `toml:"peer-address"`
	AdvertisedPeer netip.AddrPort   `toml:"advertised-peer-address"` // where other instances connect; Peer if not set
	Operator       netip.AddrPort   `toml:"operator-address"`
	Ready          netip.AddrPort   `toml:"ready-address"`
	Directory      netip.AddrPort   `toml:"directory-address"`
	Store          netip.AddrPort   `toml:"store-address"`
	Instances      netip.AddrPort   `toml:"instance-list-address"`
	Platform       Platform         `toml:"platform"`
	Seeds          []netip.AddrPort `toml:"seeds"`
	FirstStart     bool             `toml:"first-start"`
	Grace          Duration         `toml:"grace"`
	LogLevel       string           `toml:"log-level"`
	Limits         Limits           `toml:"limits"`
	Intervals      Intervals        `toml:"intervals"`
	Traces         Traces           `toml:"traces"`
	JitterSeed     uint64           `toml:"jitter-seed"`
	GoMemoryLimit  int64            `toml:"memory-limit-bytes"`
	MemoryBytes    int64            `toml:"memory-bytes"`    // of the machine, 0 for what the operating system reports
	MemoryMB       float64          `toml:"memory-mb"`       // the same in MB (2^20 bytes), instead of MemoryBytes
	ProcessorCores float64          `toml:"processor-cores"` // CPU time available to the instance, in cores; 0 if unknown
	Callers        Callers          `toml:"callers"`
	Retries        Retries          `toml:"retries"`
	Quotas         Quotas           `toml:"quotas"`
	Locality       Locality         `toml:"locality"`
	Floor          float64          `toml:"floor"`
	DecideLocally  bool             `toml:"decide-alone"` // make local decisions only, without homes; for benchmarks
}

// Platform is the kind of platform that an instance runs on.
type Platform string

// Platforms.
const (
	// PlatformHTTP has sequoiaspan's own store and instance list; see adapters/store/http and adapters/instances/http.
	PlatformHTTP Platform = "http"
	// PlatformMetadataStore has a metadata store that also lists instances; see package platform.
	PlatformMetadataStore Platform = "metadata-store"
)

// Callers configures the directory, through which callers find instances, and their connections.
type Callers struct {
	AnswerTTL     Duration `toml:"keep"`           // how long callers may cache a directory answer
	MaxAddresses  int      `toml:"addresses"`      // in a directory answer
	PipelineDepth int      `toml:"pipeline-depth"` // requests of one connection that may be in progress at the same time
}

// Memory returns the memory of the machine in bytes, 0 if it is not set.
func (settings *Settings) Memory() int64 {
	if settings.MemoryMB > 0 {
		return int64(settings.MemoryMB * (1 << 20))
	}
	return settings.MemoryBytes
}

// Retries is the retry budget of a service over all instances: retries may be this share of the first attempts, plus a burst
// (a number of attempts).
type Retries struct {
	Share float64 `toml:"share"`
	Burst float64 `toml:"burst"`
}

// Quotas is how far the limit of a team may be exceeded over all instances: in any window, by this fraction of the limit plus a
// number of requests. Instances use it to admit requests while they cannot count them together.
type Quotas struct {
	Window    Duration `toml:"window"`
	Overshoot float64  `toml:"overshoot"`
	Slack     float64  `toml:"slack"`
	// ByPriority grants a team's urgent requests the tokens of its limit first.
	ByPriority bool `toml:"by-priority"`
	// StrictTakeover has counters that take over start empty, so that any number of takeovers in a window keeps the limit.
	StrictTakeover bool `toml:"strict-takeover"`
}

// Locality configures the use of the load that the homes of slices report to the instances that ask them, and when requests leave
// their failure domain.
type Locality struct {
	Enabled   bool    `toml:"enabled"`
	BytePrice float64 `toml:"byte-price"` // of a byte between failure domains, in the unit of a request's worth
}

// Limits bounds the resources that callers and peers use.
type Limits struct {
	MaxHeaderBytes       int      `toml:"header-bytes"`
	HeaderTimeout        Duration `toml:"header-time"`
	IdleTimeout          Duration `toml:"idle-time"`
	MaxCallerConnections int      `toml:"caller-connections"`
	MaxPeerSessions      int      `toml:"peer-sessions"`
	MaxPortConnections   int      `toml:"port-connections"`  // to each of the operator, ready and directory addresses
	HeadMemoryBytes      int64    `toml:"head-memory-bytes"` // for the heads of all requests, 0 for a share of the machine's memory
}

// Intervals holds the periods of an instance's background tasks, and the time after which a peer counts as silent.
type Intervals struct {
	InstanceList Duration `toml:"instance-list"`
	KeyTable     Duration `toml:"key-table"`
	PeerSilence  Duration `toml:"peer-silence"`
}

// Traces configures the export of spans.
type Traces struct {
	Exporter string `toml:"exporter"` // off, stdout or otlp
	Endpoint string `toml:"endpoint"` // of an OTLP collector, as host:port
}

// Duration is a time.Duration in the format of time.ParseDuration, such as 30s.
type Duration time.Duration

// UnmarshalText parses a duration.
func (duration *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*duration = Duration(d)
	return err
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindUnreadable Kind = "unreadable"
	KindSyntax     Kind = "syntax"
	KindUnknown    Kind = "unknown-key"
	KindValue      Kind = "value"
)

// Error is one error in the settings.
type Error struct {
	Op     string
	Kind   Kind
	File   string
	Line   int // 0 if unknown
	Field  string
	Reason string
}

// Error returns the error as file:line: field: reason.
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return place + ": " + e.Reason
	}
	return place + ": " + e.Field + ": " + e.Reason
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			MaxHeaderBytes: 64 << 10, HeaderTimeout: Duration(10 * time.Second), IdleTimeout: Duration(2 * time.Minute),
			MaxCallerConnections: 10_000, MaxPeerSessions: 4096, MaxPortConnections: 1024,
		},
		Intervals: Intervals{
			InstanceList: Duration(time.Second), KeyTable: Duration(3 * time.Second), PeerSilence: Duration(100 * time.Millisecond),
		},
		Traces: Traces{Exporter: "off"}, Platform: PlatformHTTP, Floor: rules.DefaultFloor,
		Callers: Callers{AnswerTTL: Duration(5 * time.Second), MaxAddresses: 8, PipelineDepth: 1},
		Retries: Retries{Share: 0.2, Burst: 44},
		Quotas:  Quotas{Window: Duration(5 * time.Second), Overshoot: 0.1},
		// With it, leaving costs about as much as the constants of proven placement without [locality].
		Locality: Locality{BytePrice: 6e-6},
	}
}

// Load reads a settings file, applies overrides from environment variables and validates the result.
//
// The name of a variable is SEQUOIASPAN_ followed by the key in capitals with underscores. Load reports all errors, joined.
func Load(file string, environment []string) (Settings, error) {
	settings := Defaults()
	text, err := os.ReadFile(file)
	if err != nil {
		return settings, &Error{Op: "load", Kind: KindUnreadable, File: file, Reason: err.Error()}
	}
	faults := decode(file, string(text), &settings)
	faults = append(faults, applyEnvironment(environment, &settings)...)
	if len(faults) == 0 {
		faults = settings.check(file, string(text))
	}
	return settings, errors.Join(faults...)
}

// applyPlatformDefaults turns on what suits the platform, unless the file sets it. The platform fills one template for the builds of an upgrade, and an
// older build rejects keys that it does not know.
func (settings *Settings) applyPlatformDefaults(meta toml.MetaData) {
	if settings.Platform == PlatformMetadataStore && !meta.IsDefined("quotas", "by-priority") {
		settings.Quotas.ByPriority = true
	}
}

// decodeErrorPattern matches the TOML library's error message for an invalid value.
var decodeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]+)"\): (.*)$`)

// decode parses the text. The TOML library stops at the first invalid value, so decode blanks that line and tries again to
// report all of them.
func decode(file, text string, settings *Settings) []error {
	if fault := checkSyntax(file, text); fault != nil {
		return []error{fault}
	}
	var faults []error
	lines := strings.Split(text, "\n")
	for {
		*settings = Defaults()
		meta, err := toml.Decode(strings.Join(lines, "\n"), settings)
		if err == nil {
			settings.applyPlatformDefaults(meta)
			return append(faults, unknownKeys(file, text, meta)...)
		}
		found := decodeErrorPattern.FindStringSubmatch(err.Error())
		if found == nil {
			return append(faults, &Error{Op: "load", Kind: KindValue, File: file, Reason: err.Error()})
		}
		line, _ := strconv.Atoi(found[1])
		faults = append(faults, &Error{Op: "load", Kind: KindValue, File: file, Line: line, Field: found[2], Reason: found[3]})
		lines[line-1] = ""
	}
}

func checkSyntax(file, text string) error {
	var parse toml.ParseError
	_, err := toml.Decode(text, &map[string]any{})
	if errors.As(err, &parse) {
		return &Error{Op: "load", Kind: KindSyntax, File: file, Line: parse.Position.Line, Field: parse.LastKey, Reason: parse.Message}
	}
	return err
}

func unknownKeys(file, text string, meta toml.MetaData) []error {
	var faults []error
	for _, key := range meta.Undecoded() {
		faults = append(faults, &Error{
			Op: "load", Kind: KindUnknown, File: file, Line: lineOf(text, key[len(key)-1]),
			Field: key.String(), Reason: "there is no such setting",
		})
	}
	return faults
}

// lineOf returns the first line that sets a key, or 0.
func lineOf(text, key string) int {
	name := key[strings.LastIndexByte(key, '.')+1:]
	for i, line := range strings.Split(text, "\n") {
		before, _, found := strings.Cut(line, "=")
		if found && strings.Trim(before, " \t\"'") == name {
			return i + 1
		}
	}
	return 0
}

// environmentPrefix is the prefix of the environment variables that override settings.
const environmentPrefix = "SEQUOIASPAN_"

// FileVariable is the environment variable that names the settings file.
const FileVariable = environmentPrefix + "CONFIG"

// applyEnvironment overrides top-level settings with environment variables.
func applyEnvironment(environment []string, settings *Settings) []error {
	var faults []error
	for _, variable := range environment {
		name, value, _ := strings.Cut(variable, "=")
		key, found := strings.CutPrefix(name, environmentPrefix)
		if !found || name == FileVariable {
			continue
		}
		key = strings.ReplaceAll(strings.ToLower(key), "_", "-")
		meta, err := toml.Decode(key+" = "+quoteUnlessNumber(value), settings)
		if err == nil && len(meta.Undecoded()) == 0 {
			continue
		}
		reason := "there is no such setting"
		if err != nil {
			reason = err.Error()
		}
		faults = append(faults, &Error{Op: "load", Kind: KindValue, File: "environment", Field: name, Reason: reason})
	}
	return faults
}

func quoteUnlessNumber(value string) string {
	if _, err := strconv.ParseInt(value, 10, 64); err == nil {
		return value
	}
	return strconv.Quote(value)
}

package dialect

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// retryAfterHeader gives the earliest time of a retry (RFC 9110, section 10.2.3).
const retryAfterHeader = "Retry-After"

// maxRetryAfterSeconds limits the value read from a header. Users of the value may limit it further.
const maxRetryAfterSeconds = 24 * 60 * 60

// Flag reports whether a header has the value that sets a flag. Any other value is an error.
func Flag(header http.Header, name, set string) (bool, error) {
	on := false
	var err error
	for _, value := range header.Values(name) {
		if strings.TrimSpace(value) == set {
			on = true
			continue
		}
		err = fmt.Errorf("%s: %q is not %q", name, value, set)
	}
	return on, err
}

// PausedUntil returns the time until which a server that rejected a request for overload (503) accepts no others, zero without
// Retry-After. Of several values the latest counts. Values that are neither a number of seconds nor a date are skipped and reported
// as an error.
func PausedUntil(now time.Time, response *http.Response) (time.Time, error) {
	if response.StatusCode != http.StatusServiceUnavailable {
		return time.Time{}, nil
	}
	until := time.Time{}
	var err error
	for _, value := range response.Header.Values(retryAfterHeader) {
		end, valueErr := parseRetryAfter(now, strings.TrimSpace(value))
		if valueErr != nil {
			err = valueErr
			continue
		}
		if end.After(until) && end.After(now) {
			until = end
		}
	}
	return until, err
}

// parseRetryAfter parses one value: seconds, with or without a fraction, or a date.
func parseRetryAfter(now time.Time, value string) (time.Time, error) {
	if date, err := http.ParseTime(value); err == nil {
		return date, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return time.Time{}, fmt.Errorf("%s: %q is neither a non-negative number of seconds nor a date", retryAfterHeader, value)
	}
	return now.Add(time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second))), nil
}

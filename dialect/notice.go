package dialect

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// retryAfterHeader carries when to come back (RFC 9110, section 10.2.3).
const retryAfterHeader = "Retry-After"

// longestRetryAfter bounds what is read from a header, in seconds. Who uses it may bound it further.
const longestRetryAfter = 24 * 60 * 60

// Flag reports whether a header has the value that sets a flag. Another value is an error.
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

// PausedUntil returns until when a server that turned a request away for load wants no other one, zero if it does not say. Of
// several values the longest counts; those that are neither a number of seconds nor a date are errors.
func PausedUntil(now time.Time, response *http.Response) (time.Time, error) {
	if response.StatusCode != http.StatusServiceUnavailable {
		return time.Time{}, nil
	}
	until := time.Time{}
	var err error
	for _, value := range response.Header.Values(retryAfterHeader) {
		end, valueErr := retryAfter(now, strings.TrimSpace(value))
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

// retryAfter reads one value, in seconds with or without a fraction or as a date.
func retryAfter(now time.Time, value string) (time.Time, error) {
	if date, err := http.ParseTime(value); err == nil {
		return date, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return time.Time{}, fmt.Errorf("%s: %q is neither a number of seconds from 0 on nor a date", retryAfterHeader, value)
	}
	return now.Add(time.Duration(min(seconds, longestRetryAfter) * float64(time.Second))), nil
}

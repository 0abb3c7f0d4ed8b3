package dialect

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestPausedUntil(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for name, c := range map[string]struct {
		status int
		values []string
		until  time.Time // zero for none
		fails  bool
	}{
		"seconds":          {503, []string{"2"}, now.Add(2 * time.Second), false},
		"fraction":         {503, []string{" 0.25 "}, now.Add(250 * time.Millisecond), false},
		"date":             {503, []string{now.Add(5 * time.Second).UTC().Format(http.TimeFormat)}, now.Add(5 * time.Second), false},
		"date in the past": {503, []string{now.Add(-time.Hour).UTC().Format(http.TimeFormat)}, time.Time{}, false},
		"none":             {503, nil, time.Time{}, false},
		"zero":             {503, []string{"0"}, time.Time{}, false},
		"other status":     {429, []string{"2"}, time.Time{}, false},
		"the longest":      {503, []string{"1", "3", "2"}, now.Add(3 * time.Second), false},
		"negative":         {503, []string{"-4"}, time.Time{}, true},
		"no number":        {503, []string{"soon"}, time.Time{}, true},
		"not a number":     {503, []string{"NaN"}, time.Time{}, true},
		"empty":            {503, []string{""}, time.Time{}, true},
		"one is malformed": {503, []string{"soon", "2"}, now.Add(2 * time.Second), true},
		"huge":             {503, []string{"1e300"}, now.Add(maxRetryAfterSeconds * time.Second), false},
		"infinite":         {503, []string{"Inf"}, now.Add(maxRetryAfterSeconds * time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{StatusCode: c.status, Header: http.Header{"Retry-After": c.values}}
			until, err := PausedUntil(now, response)
			must.Eq(t, c.until.UTC(), until.UTC())
			must.Eq(t, c.fails, err != nil)
		})
	}
}

func TestNativeReply(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	header := http.Header{}
	header.Set(StateHeader, StateLeaving)
	header.Set(OutcomeHeader, "not-run")
	header.Set("Retry-After", "1.5")
	info, err := Native{}.ParseResponse(now, RequestInfo{}, &http.Response{StatusCode: 503, Header: header})
	must.NoError(t, err)
	must.Eq(t, ResponseInfo{Refused: true, Leaving: true, PausedUntil: now.Add(1500 * time.Millisecond)}, info)
	header.Set(StateHeader, "departing")
	info, err = Native{}.ParseResponse(now, RequestInfo{}, &http.Response{StatusCode: 200, Header: header})
	must.Error(t, err)
	must.False(t, info.Leaving)
}

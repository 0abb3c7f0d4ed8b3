package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestQuarantineOutlivesItsHome guards against a request that crashes servers again because the home that knew it has stopped, or has been
// started again under its name.
func TestQuarantineOutlivesItsHome(t *testing.T) {
	var notices Notices
	now := time.Unix(1_800_000_000, 0)
	until := now.Add(time.Minute)
	notices.Record(now, 7, "entry-0", until)
	_, found := notices.Until(now, 7, "entry-0")
	must.False(t, found, must.Sprint("its home decides"))
	for _, home := range []string{"entry-1", "entry-0"} {
		got, found := notices.Until(now, 7, home)
		must.True(t, found, must.Sprint(home))
		must.Eq(t, until, got)
	}
	_, found = notices.Until(until, 7, "entry-1")
	must.False(t, found)
	_, found = notices.Until(now, 8, "entry-1")
	must.False(t, found)
	notices.Clear(7)
	must.Zero(t, notices.Count())
}

func TestNoticesAreBounded(t *testing.T) {
	var notices Notices
	now := time.Unix(1_800_000_000, 0)
	for i := range 2 * maxFingerprints {
		notices.Record(now, uint64(i+1), "entry-0", now.Add(time.Minute))
	}
	must.Eq(t, maxFingerprints, notices.Count())
	_, found := notices.Until(now, 2*maxFingerprints, "entry-1")
	must.True(t, found)
}

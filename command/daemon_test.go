package command

import (
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// TestRepeatedStopDropsNothing repeats SIGTERM, as supervisors do. A repeated SIGTERM used to drop requests in flight (found
// by the soak test with seed 112).
func TestRepeatedStopDropsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := make(chan os.Signal)
		stopping, force := watchSignals(received)
		synctest.Wait()
		must.NoError(t, stopping.Err())
		received <- syscall.SIGTERM
		received <- syscall.SIGTERM
		synctest.Wait()
		must.Error(t, stopping.Err())
		must.NoError(t, force.Err())
		received <- os.Interrupt
		synctest.Wait()
		must.Error(t, force.Err())
		close(received)
	})
}

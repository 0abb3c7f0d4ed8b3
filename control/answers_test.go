package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/testing/raw"
)

// TestInvalidAnswersAreNoStatus guards against a version that is shown as in force though the instance's answer is broken.
func TestInvalidAnswersAreNoStatus(t *testing.T) {
	const status = `{"rules-version":7}`
	control := &Control{}
	for name, text := range raw.InvalidAnswers("", status) {
		r := control.fetchRow(t.Context(), instance.Entry{Name: "entry-0", Operator: raw.Answer(t, text)})
		must.Error(t, r.err, must.Sprint(name))
		must.SliceLen(t, 1, outdatedRows([]row{r}, 7), must.Sprint(name))
	}
	r := control.fetchRow(t.Context(), instance.Entry{Name: "entry-0", Operator: raw.Answer(t, "HTTP/1.0 200 OK\r\n\r\n"+status)})
	must.NoError(t, r.err)
	must.SliceEmpty(t, outdatedRows([]row{r}, 7))
}

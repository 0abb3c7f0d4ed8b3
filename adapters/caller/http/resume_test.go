package http

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
	"github.com/sequoiaspan/sequoiaspan/core/instance"
)

// TestResumedRangesAreOfTheLengthThatTheyPromise resumes a download of ten bytes, without a length, from a range that ends with its connection. Guards
// against a download that counts as complete at an early end of the range.
func TestResumedRangesAreOfTheLengthThatTheyPromise(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	for rest, isWhole := range map[string]bool{"56789": true, "567": false, "": false, "567890": false} {
		attempts := 0
		handler := newTestHandler(func(_ *http.Request, progress *backend.Progress) (*http.Response, error) {
			attempts++
			progress.SetConnected(false)
			response := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Header: http.Header{"Etag": {`"v1"`}}}
			response.Body = io.NopCloser(io.MultiReader(strings.NewReader("01234"), iotest.ErrReader(errors.New("reset"))))
			if attempts > 1 {
				response.StatusCode, response.Body = http.StatusPartialContent, io.NopCloser(strings.NewReader(rest))
				response.Header.Set("Content-Range", "bytes 5-9/10")
			}
			return response, nil
		})
		handler.Entry.ApplyList(instance.List{
			Entries: []instance.Entry{{Name: "entry-0", Domain: "domain-0", Caller: address, Peer: address}},
			Servers: []instance.Server{
				{Name: "payouts-0", Service: "payouts", Domain: "domain-0", Address: address}, {Name: "payouts-1", Service: "payouts", Domain: "domain-0", Address: address},
			},
		})
		handler.Entry.ApplyRules(2, "service payouts attempts=2 # asked by: test\nroute /releases service=payouts deadline=10s # asked by: test\n")
		recorder := httptest.NewRecorder()
		aborted := func() (aborted bool) {
			defer func() { aborted = recover() != nil }()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/releases", nil))
			return false
		}()
		must.EqOp(t, 2, attempts, must.Sprintf("%q", rest))
		must.EqOp(t, !isWhole, aborted, must.Sprintf("%q", rest))
		if isWhole {
			must.EqOp(t, "0123456789", recorder.Body.String())
		}
		must.StrHasPrefix(t, recorder.Body.String(), "0123456789", must.Sprint("bytes of the content only"))
	}
}

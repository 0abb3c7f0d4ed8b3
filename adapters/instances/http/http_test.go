package http

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/testing/raw"
)

// TestOddRowsDoNotStopTheList has the list contain rows of another writer beside sound ones.
func TestOddRowsDoNotStopTheList(t *testing.T) {
	const sound = `{"name":"b0","service":"balances","failure-domain":"d0","address":"127.0.0.1:9","slots":4,"state":"live"}`
	for _, odd := range []string{
		"7", "null", "[]", "{}", strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
		strings.Replace(sound, "127.0.0.1:9", "127.0.0.1:65536", 1), strings.Replace(sound, "127.0.0.1:9", "127.0.0.1:0", 1), strings.Replace(sound, "127.0.0.1:9", "0.0.0.0:9", 1),
		strings.Replace(sound, `"slots":4`, `"slots":1e400`, 1), strings.Replace(sound, `"slots":4`, `"slots":4294967296`, 1), strings.Replace(sound, `"slots":4`, `"slots":-1`, 1),
		strings.Replace(sound, `"state":"live"`, `"state":"asleep"`, 1), strings.Replace(sound, `"service":"balances"`, `"service":["balances"]`, 1),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"as-of":"2027-01-15T08:00:00Z","entry-instances":[%s],"backend-servers":[%s,%s]}`, odd, odd, sound)
		}))
		client := Client{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
		list, err := client.List(t.Context())
		server.Close()
		must.NoError(t, err, must.Sprintf("%.80s", odd))
		must.Len(t, 1, list.Servers, must.Sprintf("%.80s", odd))
		must.Eq(t, "b0", list.Servers[0].Name)
		must.SliceEmpty(t, list.Entries)
	}
}

// TestInvalidAnswersAreNoList guards against a list whose answer HTTP does not allow.
func TestInvalidAnswersAreNoList(t *testing.T) {
	const list = `{"as-of":"2027-01-15T08:00:00Z","entry-instances":[],"backend-servers":[]}`
	for name, text := range raw.InvalidAnswers("", list) {
		client := Client{Address: raw.Answer(t, text)}
		_, err := client.List(t.Context())
		must.Error(t, err, must.Sprint(name))
	}
	client := Client{Address: raw.Answer(t, "HTTP/1.0 200 OK\r\n\r\n"+list)}
	_, err := client.List(t.Context())
	must.NoError(t, err)
}

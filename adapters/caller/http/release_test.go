package http

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	backend "github.com/sequoiaspan/sequoiaspan/adapters/backend/http"
)

// brokenWriter is a caller's ResponseWriter that panics or fails in one of its methods.
type brokenWriter struct {
	*httptest.ResponseRecorder
	broken string
}

var errBroken = errors.New("the writer is broken")

func (brokenWriter *brokenWriter) fail(method string) error {
	switch brokenWriter.broken {
	case method + " panics":
		panic(errBroken)
	case method + " fails":
		return errBroken
	}
	return nil
}

func (brokenWriter *brokenWriter) WriteHeader(status int) {
	_ = brokenWriter.fail("WriteHeader")
	brokenWriter.ResponseRecorder.WriteHeader(status)
}

func (brokenWriter *brokenWriter) Write(text []byte) (int, error) {
	if err := brokenWriter.fail("Write"); err != nil {
		return 0, err
	}
	return brokenWriter.ResponseRecorder.Write(text)
}

func (brokenWriter *brokenWriter) FlushError() error { return brokenWriter.fail("Flush") }

// failingBody is a response body that panics or fails after its first bytes.
type failingBody struct {
	io.Reader
	panics bool
}

func (failingBody *failingBody) Read(buffer []byte) (int, error) {
	n, err := failingBody.Reader.Read(buffer)
	if n == 0 && failingBody.panics {
		panic(errBroken)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (failingBody *failingBody) Close() error { return nil }

// TestGrantsEndWithTheirExchange guards against a server's slot that stays taken, as its grant is renewed, when a panic ends a request (review/9).
func TestGrantsEndWithTheirExchange(t *testing.T) {
	for _, broken := range []string{"", "WriteHeader panics", "Write panics", "Write fails", "Flush panics", "Flush fails"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for _, length := range []int64{-1, 5, 2 << 20} {
				for name, body := range map[string]func() io.ReadCloser{
					"whole":  func() io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("a", int(max(5, length))))) },
					"cut":    func() io.ReadCloser { return &failingBody{Reader: strings.NewReader("ab")} },
					"panics": func() io.ReadCloser { return &failingBody{Reader: strings.NewReader("ab"), panics: true} },
				} {
					if name == "panics" && method == http.MethodGet && length == 5 {
						continue // the body is read by a goroutine of its own
					}
					t.Run(fmt.Sprintf("%s, %s, %d, %s", broken, method, length, name), func(t *testing.T) {
						handler := newTestHandler(func(_ *http.Request, progress *backend.Progress) (*http.Response, error) {
							progress.SetConnected(false)
							return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Etag": {`"a"`}}, ContentLength: length, Body: body()}, nil
						})
						handler.Entry.ApplyRules(2, "service payouts # asked by: test\nroute /releases service=payouts deadline=10s # asked by: test\n")
						func() {
							defer func() {
								if reason := recover(); reason != nil {
									must.True(t, reason == any(http.ErrAbortHandler) || reason == any(errBroken), must.Sprint(reason))
								}
							}()
							handler.ServeHTTP(&brokenWriter{httptest.NewRecorder(), broken}, httptest.NewRequest(method, "/releases", nil))
						}()
						must.Eq(t, 0, handler.Entry.Status().GrantsHeld)
						for _, slice := range handler.Entry.Status().Slices {
							for _, server := range slice.Servers {
								must.Eq(t, 0, server.InFlight)
							}
						}
					})
				}
			}
		}
	}
}

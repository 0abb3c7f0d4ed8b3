// Package slow provides slow instances and slow replies for tests.
package slow

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// Instance is an instance in which what has arrived waits for a time. It implements wait.Delays.
type Instance time.Duration

// QueueDelay returns that time.
func (instance Instance) QueueDelay() time.Duration { return time.Duration(instance) }

// Transport is a transport whose replies take a time.
type Transport struct {
	http.RoundTripper
	Time time.Duration
}

// RoundTrip returns the reply after that time, unless the request is canceled before.
func (transport Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	timer := time.NewTimer(transport.Time)
	defer timer.Stop()
	select {
	case <-timer.C:
		return transport.RoundTripper.RoundTrip(request)
	case <-request.Context().Done():
		return nil, context.Cause(request.Context())
	}
}

// Reply is a transport that answers each request with a header and a body.
type Reply struct {
	Header http.Header
	Body   string
}

// RoundTrip returns the reply with status 200.
func (reply Reply) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: reply.Header, Body: io.NopCloser(strings.NewReader(reply.Body))}, nil
}

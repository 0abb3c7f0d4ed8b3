package http

import (
	"context"
	"errors"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/sequoiaspan/sequoiaspan/wait"
)

// Limits of a response header. The transport limits its size, including that of interim responses.
const (
	headerTimeout       = 3 * time.Second // after its first byte: a header takes one or two packets, and a lost packet is retransmitted after a second
	maxInterimResponses = 5               // 1xx responses before the final one; same as net/http's default limit
)

var (
	errHeaderTimeout  = errors.New("timed out reading the response header")
	errTooManyInterim = errors.New("too many interim (1xx) responses")
)

// headerMonitor cancels an attempt whose response header starts but is not complete within headerTimeout.
type headerMonitor struct {
	cancel context.CancelCauseFunc
	delays wait.Delays // nil for none

	mu               sync.Mutex
	silence          *wait.Silence
	interimResponses int
}

// trace installs the monitor's hooks in the client trace.
func (headerMonitor *headerMonitor) trace(trace *httptrace.ClientTrace) {
	trace.GotFirstResponseByte = headerMonitor.onFirstByte
	trace.Got1xxResponse = headerMonitor.onInterim
}

func (headerMonitor *headerMonitor) onFirstByte() {
	headerMonitor.mu.Lock()
	defer headerMonitor.mu.Unlock()
	headerMonitor.silence = wait.OnSilence(time.Now().Add(headerTimeout), headerMonitor.delays, func() { headerMonitor.cancel(errHeaderTimeout) })
}

// onInterim counts an interim response and stops the timer, since the final response may take longer.
func (headerMonitor *headerMonitor) onInterim(int, textproto.MIMEHeader) error {
	headerMonitor.stop()
	headerMonitor.mu.Lock()
	defer headerMonitor.mu.Unlock()
	headerMonitor.interimResponses++
	if headerMonitor.interimResponses > maxInterimResponses {
		return errTooManyInterim
	}
	return nil
}

func (headerMonitor *headerMonitor) stop() {
	headerMonitor.mu.Lock()
	defer headerMonitor.mu.Unlock()
	if headerMonitor.silence != nil {
		headerMonitor.silence.Stop()
	}
}

package http

import (
	"context"
	"errors"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// Bounds of an answer's headerMonitor. Its bytes are bounded by the transport, for interim answers as well.
const (
	headerTimeout       = 3 * time.Second // from its first byte on: a head is a packet or two, and a lost one is sent again after a second
	maxInterimResponses = 5               // 1xx answers before the final one, as many as net/http allows by itself
)

var (
	errHeaderTimeout  = errors.New("the answer's header did not end in time")
	errTooManyInterim = errors.New("too many interim answers")
)

// headerMonitor watches the header of an attempt's answer, and cancels the attempt if it begins and does not end.
type headerMonitor struct {
	cancel context.CancelCauseFunc

	mu               sync.Mutex
	timer            *time.Timer
	interimResponses int
}

// trace sets the hooks.
func (headerMonitor *headerMonitor) trace(trace *httptrace.ClientTrace) {
	trace.GotFirstResponseByte = headerMonitor.onFirstByte
	trace.Got1xxResponse = headerMonitor.onInterim
}

func (headerMonitor *headerMonitor) onFirstByte() {
	headerMonitor.mu.Lock()
	defer headerMonitor.mu.Unlock()
	headerMonitor.timer = time.AfterFunc(headerTimeout, func() { headerMonitor.cancel(errHeaderTimeout) })
}

// onInterim counts an interim answer. The final one may take its time after it.
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

// stop ends the watch.
func (headerMonitor *headerMonitor) stop() {
	headerMonitor.mu.Lock()
	defer headerMonitor.mu.Unlock()
	if headerMonitor.timer != nil {
		headerMonitor.timer.Stop()
	}
}

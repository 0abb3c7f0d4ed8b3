package http

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiaspan/sequoiaspan/core/answer"
)

// conn is a connection to a server. It judges the heads that it reads, and tells whether the server ended what it sent.
type conn struct {
	net.Conn

	mu      sync.Mutex
	scanner *answer.Scanner // of the latest request, nil before the first; mu guards what it points to

	writing sync.Mutex // held during a write
	lost    error      // of a write, if it tells that the connection was lost
}

// expect records that the next bytes are the answer to a request. It returns the scanner that judges them.
func (conn *conn) expect() *answer.Scanner {
	scanner := &answer.Scanner{}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.scanner = scanner
	return scanner
}

// framing returns the framing of the answer that a scanner judges. It returns false if its final head has not been read.
func (conn *conn) framing(scanner *answer.Scanner) (answer.Framing, bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return scanner.Framing()
}

// Read reads from the connection. It fails, without bytes, if the head of an answer breaks a rule of HTTP, and returns io.EOF only if the server has
// ended the connection.
func (conn *conn) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	if err == io.EOF {
		if lost := conn.lossInWriting(); lost != nil {
			return 0, lost
		}
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.scanner != nil {
		if headErr := conn.scanner.Read(p[:n]); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// elapsed is a deadline that has passed.
var elapsed = time.Unix(1, 0)

// lossInWriting returns the error by which a write learned that the connection was lost, or nil.
//
// The system reports a reset or a time-out once, to the call that asks first, and an end of file to the reads after it. If that call was a write, the
// reads cannot tell the loss from an end by the server. A write in progress may have been told and not returned yet, or it may wait for a server that
// reads no more: a deadline interrupts it.
func (conn *conn) lossInWriting() error {
	// On a closed connection no write is in progress for long.
	_ = conn.Conn.SetWriteDeadline(elapsed)
	conn.writing.Lock()
	defer conn.writing.Unlock()
	_ = conn.Conn.SetWriteDeadline(time.Time{})
	return conn.lost
}

// Write writes to the connection.
func (conn *conn) Write(p []byte) (int, error) {
	for written := 0; ; {
		n, err := conn.writePart(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// lossInWriting has interrupted the write.
	}
}

func (conn *conn) writePart(p []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	n, err := conn.Conn.Write(p)
	if isLoss(err) {
		conn.lost = fmt.Errorf("connection lost during a write: %w", err)
	}
	return n, err
}

// isLoss reports whether the error of a write tells that the connection was lost. A deadline and a close come from this side, and EPIPE comes after an
// end by the server or a loss that another call was told of.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EPIPE)
}

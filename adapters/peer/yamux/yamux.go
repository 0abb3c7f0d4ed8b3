// Package yamux exchanges messages between entry instances over yamux sessions. Each client opens one session per peer on first use.
package yamux

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/sequoiaspan/sequoiaspan/wire"
)

// Session limits and timeouts.
const (
	protocolVersion   = 1
	maxFrameBytes     = 8 << 20
	maxQueuedFrames   = 256 // per stream, waiting to be written
	bufferBytes       = 1 << 10
	keepAliveInterval = 10 * time.Second
	writeTimeout      = 5 * time.Second
	helloTimeout      = 5 * time.Second
)

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	KindTimeout     Kind = "silent"   // no reply before the timeout
	KindUnavailable Kind = "down"     // the session could not be opened or has ended
	KindProtocol    Kind = "protocol" // the peer sent an invalid message
)

// Error is a failure to exchange messages with a peer.
type Error struct {
	Op   string
	Kind Kind
	Peer string
	Err  error
}

// Error returns the operation, peer, kind and cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s %s: %s", e.Op, e.Peer, e.Kind)
	}
	return fmt.Sprintf("%s %s: %s: %v", e.Op, e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errQueueFull = errors.New("write queue is full")
	errProtocol  = errors.New("unexpected message or protocol version")
)

func sessionConfig(log *zap.Logger) *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = nil
	config.Logger = zap.NewStdLog(log)
	return config
}

// stream writes and reads frames on one yamux stream.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	out    chan *wire.Frame
	done   chan struct{}
	once   sync.Once
}

func newStream(conn net.Conn) *stream {
	return &stream{
		conn: conn, reader: bufio.NewReaderSize(conn, bufferBytes),
		out: make(chan *wire.Frame, maxQueuedFrames), done: make(chan struct{}),
	}
}

// send queues a frame; it never blocks and returns errQueueFull when the queue is full.
func (stream *stream) send(frame *wire.Frame) error {
	select {
	case <-stream.done:
		return io.ErrClosedPipe
	case stream.out <- frame:
		return nil
	default:
		return errQueueFull
	}
}

// receive reads the next frame.
func (stream *stream) receive() (*wire.Frame, error) {
	frame := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(stream.reader, frame)
	return frame, err
}

// writeFrames writes queued frames until the stream is closed. It flushes only when the queue is empty, to batch frames.
func (stream *stream) writeFrames() {
	defer stream.close()
	writer := bufio.NewWriterSize(stream.conn, bufferBytes)
	for {
		select {
		case <-stream.done:
			return
		case frame := <-stream.out:
			if _, err := protodelim.MarshalTo(writer, frame); err != nil {
				return
			}
		}
		if len(stream.out) > 0 {
			continue
		}
		if err := writer.Flush(); err != nil {
			return
		}
	}
}

func (stream *stream) close() {
	stream.once.Do(func() {
		close(stream.done)
		_ = stream.conn.Close()
	})
}

package head

import "bytes"

// Scanner follows the bytes that a server reads from a connection and tells the size of the heads among them. It finds the end of a request, as
// the server may have read a part of the next head with it, but validates nothing. The zero value awaits the first head.
type Scanner struct {
	head     Size   // of the request that is read or in progress
	line     int    // bytes of the current line so far, without carriage returns
	complete bool   // the head has been read
	began    bool   // its request is in progress, so that body is known
	body     body   // of that request
	rest     []byte // read behind the head, not known to belong to the body
}

// Read records bytes that the server is about to receive.
func (scanner *Scanner) Read(p []byte) {
	if !scanner.complete {
		p = scanner.readHead(p)
	}
	if scanner.began {
		p = scanner.body.skip(p)
	}
	if len(p) > 0 {
		scanner.rest = append(scanner.rest, p...)
	}
}

// readHead counts the bytes up to the end of the head and returns the others.
func (scanner *Scanner) readHead(p []byte) []byte {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		part := p[:end+1]
		if end < 0 {
			part = p
		}
		p = p[len(part):]
		scanner.head.Bytes += len(part)
		scanner.line += len(bytes.TrimRight(part, "\r\n"))
		if end < 0 {
			return nil
		}
		scanner.head.Lines++
		scanner.complete = scanner.line == 0
		scanner.line = 0
		if scanner.complete {
			return p
		}
	}
	return nil
}

// Begin records that the request whose head has been read is in progress. The length of its body is -1 for a chunked one.
func (scanner *Scanner) Begin(contentLength int64) {
	scanner.began = true
	scanner.body = body{left: max(0, contentLength), chunked: contentLength < 0}
	scanner.rest = append([]byte(nil), scanner.body.skip(scanner.rest)...)
}

// End records that the request has ended and the connection stays open. What has been read behind it is the start of the next head.
func (scanner *Scanner) End() {
	rest := scanner.rest
	*scanner = Scanner{}
	scanner.Read(rest)
}

// Size returns the size of the head and its trailers. Bytes behind the request do not count until it ends: the server does not parse them before,
// and they are not more than its buffer.
func (scanner *Scanner) Size() Size {
	trailer := scanner.body.trailer
	return Size{Bytes: scanner.head.Bytes + trailer.Bytes, Lines: scanner.head.Lines + trailer.Lines}
}

// body finds the end of a request's body.
type body struct {
	left    int64 // bytes of the body, or of the current chunk and the line break behind it
	chunked bool

	state   chunkState
	size    int64 // of the next chunk, as far as it has been read
	digits  int   // of that size
	line    int   // bytes of the current line of the trailers, without carriage returns
	trailer Size
}

// chunkState is a part of the chunked framing (RFC 9112, section 7.1).
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkTrailer
	chunkEnd
)

// maxSizeDigits keeps the size of a chunk from overflowing; net/http rejects longer ones.
const maxSizeDigits = 15

// skip consumes bytes of the body and returns those behind it.
func (body *body) skip(p []byte) []byte {
	if !body.chunked {
		n := min(body.left, int64(len(p)))
		body.left -= n
		return p[n:]
	}
	for len(p) > 0 && body.state != chunkEnd {
		if body.state == chunkData {
			n := min(body.left, int64(len(p)))
			body.left -= n
			p = p[n:]
			if body.left == 0 {
				body.state, body.size, body.digits = chunkSize, 0, 0
			}
			continue
		}
		body.readFraming(p[0])
		p = p[1:]
	}
	return p
}

// readFraming consumes a byte that is not data.
func (body *body) readFraming(c byte) {
	switch body.state {
	case chunkSize:
		if digit, ok := hexDigit(c); ok && body.digits < maxSizeDigits {
			body.size, body.digits = body.size<<4|digit, body.digits+1
			return
		}
		body.state = chunkExtension
		if c == '\n' {
			body.endSize()
		}
	case chunkExtension:
		if c == '\n' {
			body.endSize()
		}
	case chunkTrailer:
		body.trailer.Bytes++
		switch c {
		case '\n':
			body.trailer.Lines++
			if body.line == 0 {
				body.state = chunkEnd
			}
			body.line = 0
		case '\r':
		default:
			body.line++
		}
	}
}

// endSize begins the data of a chunk, or the trailers behind the last one.
func (body *body) endSize() {
	const lineBreak = 2
	body.state = chunkTrailer
	if body.size > 0 {
		body.state, body.left = chunkData, body.size+lineBreak
	}
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}

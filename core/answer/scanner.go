package answer

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Scanner judges the head of the answer to a request, and those of the interim answers before it, as a client reads them. The zero value awaits the first.
type Scanner struct {
	state state
	line  []byte // of the current line so far
	head  head
}

// state is the part of an answer that is read next.
type state int

const (
	statusLine state = iota // of an interim or the final head
	fields
	complete // the final head has been read
)

// head is what is known of the head that is read, or was read last.
type head struct {
	status      int
	isVersion10 bool // HTTP/1.0, which has no transfer codings
	framing     Framing
}

// Framing returns the framing of the final head. It returns false if that head has not been read.
func (scanner *Scanner) Framing() (Framing, bool) {
	return scanner.head.framing, scanner.state == complete
}

// Read judges bytes that the client is about to receive. It returns an *Error if they break a rule; the client must not receive them then.
func (scanner *Scanner) Read(p []byte) error {
	for scanner.state != complete && len(p) > 0 {
		part, rest, found := bytes.Cut(p, []byte{'\n'})
		p = rest
		scanner.line = append(scanner.line, part...)
		if !found {
			return nil
		}
		// A line may end without a carriage return (RFC 9112, section 2.2).
		line := string(bytes.TrimSuffix(scanner.line, []byte{'\r'}))
		scanner.line = scanner.line[:0]
		if err := scanner.readLine(line); err != nil {
			return err
		}
	}
	return nil
}

func (scanner *Scanner) readLine(line string) error {
	switch {
	case scanner.state == statusLine:
		return scanner.begin(line)
	case line == "":
		return scanner.end()
	default:
		return scanner.head.readField(line)
	}
}

// begin reads the status line of a head.
func (scanner *Scanner) begin(line string) error {
	head, err := parseStatusLine(line)
	if err != nil {
		return &Error{Op: "head", Kind: KindStatusLine, Err: err}
	}
	scanner.state, scanner.head = fields, head
	return nil
}

// end ends a head. After that of an interim answer comes another one.
func (scanner *Scanner) end() error {
	if err := scanner.head.checkFraming(); err != nil {
		return &Error{Op: "head", Kind: KindFraming, Err: err}
	}
	scanner.state, scanner.line = complete, nil
	if scanner.head.status < firstFinalStatus {
		scanner.state = statusLine
	}
	return nil
}

// parseStatusLine reads the version and the status of a head. It accepts the statuses that may begin or end an answer: no request asks for another
// protocol.
func parseStatusLine(line string) (head, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	minor, isVersion1 := strings.CutPrefix(version, "HTTP/1.")
	if !isVersion1 || len(minor) != 1 || !isDigits(minor) {
		return head{}, fmt.Errorf("version %s", quote(version))
	}
	status, err := strconv.Atoi(code)
	if err != nil || !isDigits(code) || status < firstStatus || status >= endOfStatuses || status == switchingProtocols {
		return head{}, fmt.Errorf("status %s", quote(code))
	}
	if err := checkField("reason", reason); err != nil {
		return head{}, err
	}
	return head{status: status, isVersion10: minor == "0", framing: Framing{Length: unknownLength}}, nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// readField reads a line with a field.
func (head *head) readField(line string) error {
	name, value, found := strings.Cut(line, ":")
	err := checkField(name, value)
	switch {
	case line[0] == ' ' || line[0] == '\t':
		err = fmt.Errorf("line begins with a blank: %s", quote(line))
	case !found:
		err = fmt.Errorf("line without a colon: %s", quote(line))
	}
	if err != nil {
		return &Error{Op: "head", Kind: KindField, Err: err}
	}
	if err := head.addField(name, value); err != nil {
		return &Error{Op: "head", Kind: KindFraming, Err: err}
	}
	return nil
}

// addField records a field that frames the body.
func (head *head) addField(name, value string) error {
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		head.framing.Chunked = true
	case strings.EqualFold(name, "Content-Length"):
		value = strings.Trim(value, " \t")
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || !isDigits(value) {
			return fmt.Errorf("length %s", quote(value))
		}
		if head.framing.Length != unknownLength && head.framing.Length != length {
			return fmt.Errorf("lengths %d and %d", head.framing.Length, length)
		}
		head.framing.Length = length
	}
	return nil
}

var (
	errTwoFramings  = errors.New("both a transfer coding and a length")
	errOldVersion   = errors.New("a transfer coding in an answer of HTTP/1.0")
	errUnwantedBody = errors.New("a body in an answer whose status excludes it")
)

// checkFraming returns an error if the fields of a complete head leave open where the answer ends. RFC 9112 (section 6) allows a proxy to read some of
// these heads in one of their ways. They are rejected because the server may have meant the other one: the bytes that the two readings
// do not share would reach the caller as content, or the next request as its answer.
func (head *head) checkFraming() error {
	framing := head.framing
	excludesBody := head.status < firstFinalStatus || head.status == noContent
	switch {
	case framing.Chunked && head.isVersion10:
		return errOldVersion
	case framing.Chunked && framing.Length != unknownLength:
		return errTwoFramings
	case excludesBody && (framing.Chunked || framing.Length > 0):
		return errUnwantedBody
	}
	return nil
}

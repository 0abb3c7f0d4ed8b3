// Package answer judges the heads and trailers of answers by the rules of HTTP/1.1 (RFC 9112), before anything of an answer is used.
//
// It responds to no load: its work is linear in the bytes of the heads.
package answer

import (
	"fmt"
	"net/textproto"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindStatusLine Kind = "status-line" // not a status of HTTP/1
	KindField      Kind = "field"       // a line that is no field with a valid name and value
	KindFraming    Kind = "framing"     // the end of the body is not certain
)

// Error is a rule of HTTP that an answer breaks.
type Error struct {
	Op   string // what was judged
	Kind Kind
	Err  error
}

// Error returns what was judged, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("answer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// The statuses that decide about the framing of an answer.
const (
	firstStatus        = 100
	switchingProtocols = 101
	firstFinalStatus   = 200
	noContent          = 204
	notModified        = 304
	endOfStatuses      = 600
)

// unknownLength is the length of a body whose head does not give it.
const unknownLength = -1

// Framing is what the head of an answer says of the end of its body.
type Framing struct {
	Chunked bool
	Length  int64 // bytes, -1 if the head gives no length
}

// Check returns an error if a client has read the framing in another way: the body that it returns is then not the server's.
func (framing Framing) Check(status int, chunked bool, length int64) error {
	if status == noContent || status == notModified || framing == (Framing{Chunked: chunked, Length: length}) {
		return nil
	}
	return &Error{Op: "head", Kind: KindFraming, Err: fmt.Errorf("%+v was read as %+v", framing, Framing{chunked, length})}
}

// framingFields are the fields that tell how a message ends. A trailer must not have them: it comes after the end of the body.
var framingFields = []string{"Content-Length", "Trailer", "Transfer-Encoding"}

// CheckTrailer returns an error if a trailer has a field that HTTP does not allow there.
func CheckTrailer(trailer map[string][]string) error {
	for name, values := range trailer {
		if err := checkField(name, values...); err != nil {
			return &Error{Op: "trailer", Kind: KindField, Err: err}
		}
		if slices.Contains(framingFields, textproto.CanonicalMIMEHeaderKey(name)) {
			return &Error{Op: "trailer", Kind: KindFraming, Err: fmt.Errorf("field %s", name)}
		}
	}
	return nil
}

// maxQuotedBytes is the longest part of a line that an error quotes.
const maxQuotedBytes = 64

// quote returns the start of a line for an error.
func quote(line string) string { return fmt.Sprintf("%.*q", maxQuotedBytes, line) }

// checkField returns an error for a name or a value that HTTP does not allow.
func checkField(name string, values ...string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("invalid name %s", quote(name))
	}
	for _, value := range values {
		if !httpguts.ValidHeaderFieldValue(value) {
			return fmt.Errorf("invalid value %s of %s", quote(value), quote(name))
		}
	}
	return nil
}

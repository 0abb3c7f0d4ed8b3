package answer

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const ok = "HTTP/1.1 200 OK\r\n"

// scan reads text by a scanner, in parts of a number of bytes.
func scan(text string, part int) (*Scanner, error) {
	scanner := &Scanner{}
	for len(text) > 0 {
		n := min(part, len(text))
		if err := scanner.Read([]byte(text[:n])); err != nil {
			return scanner, err
		}
		text = text[n:]
	}
	return scanner, nil
}

// TestInvalidHeadsAreErrors reads heads that HTTP does not allow, in parts of each size.
func TestInvalidHeadsAreErrors(t *testing.T) {
	for head, kind := range map[string]Kind{
		"HTTP/1.1 000 OK\r\n": KindStatusLine, "HTTP/1.1 099 OK\r\n": KindStatusLine, "HTTP/1.1 +20 OK\r\n": KindStatusLine, "HTTP/1.1 2e2 OK\r\n": KindStatusLine,
		"HTTP/1.1 20 OK\r\n": KindStatusLine, "HTTP/1.1 2000 OK\r\n": KindStatusLine, "HTTP/1.1 600 X\r\n": KindStatusLine, "HTTP/1.1\r\n": KindStatusLine, "\r\n": KindStatusLine,
		"HTTP/1.1 101 Switching Protocols\r\n": KindStatusLine, "HTTP/1.1 200 O\x00K\r\n": KindStatusLine, "HTTP/1.1 200 O\x7fK\r\n": KindStatusLine,
		"HTTP/2.0 200 OK\r\n": KindStatusLine, "HTTP/0.9 200 OK\r\n": KindStatusLine, "HTTP/1.10 200 OK\r\n": KindStatusLine, "http/1.1 200 OK\r\n": KindStatusLine, "HTTP/1.x 200 OK\r\n": KindStatusLine,

		ok + "Transfer-Encoding : chunked\r\n": KindField, ok + "Transfer Encoding: chunked\r\n": KindField, ok + "Transfer-Encoding\t: chunked\r\n": KindField,
		ok + "A: b\r\n Transfer-Encoding: chunked\r\n": KindField, ok + "A: b\r\n\tc\r\n": KindField, ok + " A: b\r\n": KindField, ok + " \r\n": KindField,
		ok + "A\x01: b\r\n": KindField, ok + "A\x00: b\r\n": KindField, ok + "A\x7f: b\r\n": KindField, ok + "\xc3\xa4: b\r\n": KindField, ok + "(A): b\r\n": KindField,
		ok + ": b\r\n": KindField, ok + "A\r\n": KindField, ok + "A: b\x00\r\n": KindField, ok + "A: b\rC: d\r\n": KindField, ok + "A: b\x7f\r\n": KindField, ok + "A: b\r\r\n": KindField,

		ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n": KindFraming, ok + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n": KindFraming,
		ok + "Content-Length: 5\r\nContent-Length: 6\r\n": KindFraming, ok + "Content-Length: 5, 5\r\n": KindFraming, ok + "Content-Length: +5\r\n": KindFraming,
		ok + "Content-Length: -5\r\n": KindFraming, ok + "Content-Length:\r\n": KindFraming, ok + "Content-Length: 5a\r\n": KindFraming, ok + "Content-Length: 99999999999999999999\r\n": KindFraming,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n": KindFraming, "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n": KindFraming,
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n": KindFraming, "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n": KindFraming,
		"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n": KindFraming, "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n": KindFraming,
	} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
			text := interim + head + "\r\n"
			for part := 1; part <= len(text); part++ {
				_, err := scan(text, part)
				var invalid *Error
				must.True(t, errors.As(err, &invalid), must.Sprintf("%q", text))
				must.Eq(t, kind, invalid.Kind, must.Sprintf("%q", text))
			}
		}
	}
}

// TestUnusualHeadsAreValid reads heads that are seldom seen and that HTTP allows, in parts of each size.
func TestUnusualHeadsAreValid(t *testing.T) {
	unknown := Framing{Length: unknownLength}
	for head, framing := range map[string]Framing{
		ok: unknown, "HTTP/1.0 200 OK\r\n": unknown, "HTTP/1.1 200\r\n": unknown, "HTTP/1.1 200 \r\n": unknown, "HTTP/1.1 599 \xe4 b\tc\r\n": unknown, "HTTP/1.2 299 X\r\n": unknown,
		"HTTP/1.1 200 OK\nA: b\nContent-Length: 5\n": {Length: 5}, ok + "A:\r\nB:    \r\n": unknown, ok + "A:b\r\nA: c:d\r\n": unknown, ok + "A: \xe4\xff \t \r\n": unknown,
		ok + "!#$%&'*+-.^_`|~09azAZ: b\r\n": unknown, ok + "CONTENT-LENGTH: 005 \t\r\n": {Length: 5}, ok + "Content-Length: 5\r\nContent-Length: 5\r\n": {Length: 5},
		ok + "tRANSFER-eNCODING:\tchunked \r\n": {Chunked: true, Length: unknownLength}, ok + "Trailer: A\r\nTransfer-Encoding: CHUNKED\r\n": {Chunked: true, Length: unknownLength},
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n": {Length: 0}, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n": {Length: 0},
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n": {Length: 5}, "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n": {Chunked: true, Length: unknownLength},
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" + ok + "Content-Length: 5\r\n": {Length: 5},
	} {
		text := head + "\r\n\x00 not a head\r\n"
		for part := 1; part <= len(text); part++ {
			scanner, err := scan(text, part)
			must.NoError(t, err, must.Sprintf("%q", text))
			got, found := scanner.Framing()
			must.True(t, found, must.Sprintf("%q", text))
			must.Eq(t, framing, got, must.Sprintf("%q", text))
		}
	}
}

// TestFramingIsKnownAfterTheFinalHead guards against the head of an interim answer, or a part of a head, that is taken for the final one.
func TestFramingIsKnownAfterTheFinalHead(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\n", ok + "A: b\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r"} {
		scanner, err := scan(text, 1)
		must.NoError(t, err)
		_, found := scanner.Framing()
		must.False(t, found, must.Sprintf("%q", text))
	}
	_, found := (&Scanner{}).Framing()
	must.False(t, found)
}

// TestValidHeadsAreReadAsTheyWereSent compares the framing of random heads with how net/http reads them. Guards against a head that is valid here and
// whose body net/http ends elsewhere.
func TestValidHeadsAreReadAsTheyWereSent(t *testing.T) {
	lines := []string{
		"Content-Length: 5", "Content-Length: 5 ", "content-length:5", "Content-Length: 6", "Content-Length : 5", "Content-Length: 0x5", "Content-Length: 5,5", "Content-Length\x00: 5",
		"Transfer-Encoding: chunked", "transfer-encoding:CHUNKED", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "Transfer-Encoding:", "Transfer-Encoding: identity",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: \x0bchunked", "Transfer-\x01Encoding: chunked", "Connection: close", "Connection: keep-alive", "Trailer: A", "Trailer: A b", "A: b", " folded", "\tfolded: c", "A", ": b", "",
	}
	statuses := []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified", "HTTP/1.0 404 Not Found", "HTTP/0.9 200 OK", "HTTP/1.1 500", "HTTP/0.0 200 OK"}
	ends := []string{"\r\n", "\n"}
	valid := 0
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom(statuses).Draw(t, "status") + "\r\n"
		for _, line := range rapid.SliceOfN(rapid.SampledFrom(lines), 0, 4).Draw(t, "lines") {
			text += line + rapid.SampledFrom(ends).Draw(t, "end")
		}
		text += "\r\n"
		scanner, err := scan(text, rapid.IntRange(1, len(text)).Draw(t, "part"))
		if err != nil {
			return
		}
		framing, found := scanner.Framing()
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return
		}
		must.True(t, found, must.Sprintf("%q", text))
		must.NoError(t, framing.Check(response.StatusCode, len(response.TransferEncoding) > 0, response.ContentLength), must.Sprintf("%q", text))
		valid++
	})
	must.Positive(t, valid)
}

func TestCheckTrailer(t *testing.T) {
	must.NoError(t, CheckTrailer(nil))
	must.NoError(t, CheckTrailer(map[string][]string{"Checksum": {"a", "\xe4"}, "Expected": nil}))
	for name, value := range map[string]string{
		"A ": "b", "A b": "c", "A\x01": "b", "": "b", "Checksum": "a\x00", "Transfer-Encoding": "chunked", "content-length": "5", "Trailer": "A",
	} {
		must.Error(t, CheckTrailer(map[string][]string{name: {value}}), must.Sprintf("%q", name))
	}
}

// BenchmarkScanner reads an ordinary head.
func BenchmarkScanner(b *testing.B) {
	text := []byte(ok + strings.Repeat("Header-Name: value of a header, as long as most of them are\r\n", 11) + "Content-Length: 5\r\n\r\nhello")
	b.ReportAllocs()
	for b.Loop() {
		scanner := &Scanner{}
		if err := scanner.Read(text); err != nil {
			b.Fatal(err)
		}
	}
}

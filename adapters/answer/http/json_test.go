package http

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// TestDecodeJSONReadsToTheEnd guards against a value whose answer goes on or breaks off behind it.
func TestDecodeJSONReadsToTheEnd(t *testing.T) {
	value := map[string]int{}
	must.NoError(t, DecodeJSON(strings.NewReader("{\"a\": 1}\r\n"), &value))
	must.Eq(t, map[string]int{"a": 1}, value)
	for _, text := range []string{"", "{", "{} {}", "{}x", "{}\r\n0"} {
		must.Error(t, DecodeJSON(strings.NewReader(text), &value), must.Sprintf("%q", text))
	}
	must.ErrorIs(t, DecodeJSON(io.MultiReader(strings.NewReader("{}"), iotest.ErrReader(io.ErrUnexpectedEOF)), &value), io.ErrUnexpectedEOF)
}

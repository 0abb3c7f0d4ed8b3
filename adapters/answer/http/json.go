package http

import (
	"encoding/json"
	"errors"
	"io"
)

var errTwoValues = errors.New("more than one JSON value")

// DecodeJSON decodes the whole of an answer's body, which must be one value. A decoder alone stops at the end of the value, before a loss of the
// connection or an invalid trailer shows.
func DecodeJSON(body io.Reader, value any) error {
	decoder := json.NewDecoder(body)
	if err := decoder.Decode(value); err != nil {
		return err
	}
	switch _, err := decoder.Token(); err {
	case io.EOF:
		return nil
	case nil:
		return errTwoValues
	default:
		return err
	}
}

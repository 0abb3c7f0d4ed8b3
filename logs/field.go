package logs

import "go.uber.org/zap"

// maxErrorBytes limits the text of an error that may quote what another program wrote.
const maxErrorBytes = 200

// ShortError returns the field of an error, cut at maxErrorBytes.
func ShortError(err error) zap.Field {
	text := err.Error()
	return zap.String("error", text[:min(len(text), maxErrorBytes)])
}

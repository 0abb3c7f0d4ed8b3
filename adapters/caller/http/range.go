package http

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// continuationLength returns the length of a response that is exactly the remainder of the first one from offset on. It returns false for any other.
func continuationLength(first, rest *http.Response, offset int64, etag string) (int64, bool) {
	if rest.StatusCode != http.StatusPartialContent || rest.Header.Get("ETag") != etag {
		return 0, false
	}
	if rest.Header.Get("Content-Encoding") != first.Header.Get("Content-Encoding") {
		return 0, false
	}
	var from, to, total int64
	if _, err := fmt.Sscanf(rest.Header.Get("Content-Range"), "bytes %d-%d/%d", &from, &to, &total); err != nil {
		return 0, false
	}
	if from != offset || to != total-1 || total < offset {
		return 0, false
	}
	return total - offset, first.ContentLength < 0 || first.ContentLength == total
}

var errRangeTooLong = errors.New("body is longer than its Content-Range")

// rangeBody is the body of a range. It ends with io.EOF only after the length that the range promises: without a Content-Length, its end alone does not
// tell that the server sent all of it.
type rangeBody struct {
	io.ReadCloser
	left int64 // bytes
}

// Read reads from the body.
func (rangeBody *rangeBody) Read(p []byte) (int, error) {
	n, err := rangeBody.ReadCloser.Read(p)
	if int64(n) > rangeBody.left {
		n, err = int(rangeBody.left), errRangeTooLong
	}
	rangeBody.left -= int64(n)
	if err == io.EOF && rangeBody.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

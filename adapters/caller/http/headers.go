package http

import (
	"net"
	"net/http"
	"net/url"
	"strings"

	"go.opentelemetry.io/otel/propagation"

	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the hop-by-hop headers, including those that the Connection header lists.
func removeHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// outgoingURL returns the URL of an attempt. Where paths are exact, the path is the one that the caller sent, also if net/url encodes it in another
// way.
func (handler *Handler) outgoingURL(r *http.Request) *url.URL {
	sent := sentPath(r)
	if !handler.Dialect.ExactPaths() || sent == r.URL.EscapedPath() || strings.HasPrefix(sent, "//") {
		// The URL of a path that begins with two slashes cannot be opaque: it would name a host.
		return r.URL
	}
	out := *r.URL
	out.Opaque = sent
	return &out
}

// outgoingHeader returns the header of a request to a backend server.
func (handler *Handler) outgoingHeader(r *http.Request, attempt dialect.Attempt) http.Header {
	header := r.Header.Clone()
	trailers := acceptsTrailers(header)
	removeHopByHop(header)
	if trailers {
		header.Set("Te", "trailers")
	}
	handler.Dialect.PrepareAttempt(header, attempt)
	if !handler.Dialect.Transparent() {
		addForwarded(header, r)
	}
	propagation.TraceContext{}.Inject(r.Context(), propagation.HeaderCarrier(header))
	if _, found := header["User-Agent"]; !found {
		// An empty value stops the transport from adding its default User-Agent.
		header.Set("User-Agent", "")
	}
	return header
}

func acceptsTrailers(header http.Header) bool {
	for _, list := range header["Te"] {
		for value := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(value), "trailers") {
				return true
			}
		}
	}
	return false
}

// addForwarded adds the headers that identify the caller to the server (RFC 7239 and the older X-Forwarded headers).
func addForwarded(header http.Header, r *http.Request) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	appendValue(header, "X-Forwarded-For", host)
	if header.Get("X-Forwarded-Host") == "" {
		header.Set("X-Forwarded-Host", r.Host)
	}
	if header.Get("X-Forwarded-Proto") == "" {
		header.Set("X-Forwarded-Proto", "http")
	}
	node := host
	if strings.Contains(host, ":") {
		node = `"[` + host + `]"`
	}
	appendValue(header, "Forwarded", "for="+node+";host="+quoted(r.Host)+";proto=http")
	appendValue(header, "Via", "1.1 sequoiaspan")
}

func appendValue(header http.Header, name, value string) {
	if earlier := header.Values(name); len(earlier) > 0 {
		value = strings.Join(earlier, ", ") + ", " + value
	}
	header.Set(name, value)
}

func quoted(text string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(text) + `"`
}

// copyHeader copies a backend server's response header to the caller's, except for hop-by-hop headers
// and the server's own state.
func (handler *Handler) copyHeader(to, from http.Header) {
	removeHopByHop(from)
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
	if !handler.Dialect.Transparent() {
		appendValue(to, "Via", "1.1 sequoiaspan")
	}
	to.Del(dialect.StateHeader)
}

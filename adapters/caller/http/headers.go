package http

import (
	"net"
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/propagation"

	"github.com/sequoiaspan/sequoiaspan/dialect"
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop drops the headers of one connection, those that Connection names included.
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

// outgoingHeader returns the header for an attempt at a backend server.
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
		// An empty value keeps the transport from adding its own.
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

// addForwarded tells the server of the caller (RFC 7239 and the older X-Forwarded headers).
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

// copyHeader copies a backend server's header into the answer.
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

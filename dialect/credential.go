package dialect

import (
	"net/http"
	"strings"

	"github.com/sequoiaspan/sequoiaspan/core/rules"
)

// authorizationHeader carries the caller's API key. Where the rules require keys it is for sequoiaspan alone and not forwarded.
const authorizationHeader = "Authorization"

// maxKeyBytes limits the length of an API key.
const maxKeyBytes = 512

// Credential is the API key that a caller presented. The zero value means none.
type Credential struct {
	Presented bool // the request has an Authorization header
	Valid     bool // it has exactly one, which is well-formed
	Digest    rules.Digest
}

// ParseCredential reads the API key of a request: one Authorization header with the given scheme and the key, a single token.
func ParseCredential(header http.Header, scheme string) Credential {
	presented, key := credentialText(header, scheme)
	valid := key != "" && len(key) <= maxKeyBytes && !strings.ContainsAny(key, " ,\t")
	return newCredential(presented, valid, key)
}

// ParseOpaqueCredential reads the API key of a request like ParseCredential, but takes all that follows the scheme for the key: platforms
// may give out keys of any characters and length.
func ParseOpaqueCredential(header http.Header, scheme string) Credential {
	presented, key := credentialText(header, scheme)
	return newCredential(presented, key != "", key)
}

func newCredential(presented, valid bool, key string) Credential {
	credential := Credential{Presented: presented, Valid: valid}
	if valid {
		credential.Digest = rules.DigestKey(key)
	}
	return credential
}

// credentialText returns whether a request has an Authorization header and, if it has exactly one with the given scheme, the text after it.
func credentialText(header http.Header, scheme string) (presented bool, text string) {
	values := header[authorizationHeader]
	if len(values) != 1 {
		return len(values) > 0, ""
	}
	name, text, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(name, scheme) {
		return true, ""
	}
	return true, TrimKey(text)
}

// TrimKey returns a key without the spaces and tabs around it, which HTTP does not transmit.
func TrimKey(key string) string { return strings.Trim(key, " \t") }

// removeCredential removes the API key from the header of an attempt.
func removeCredential(header http.Header) { header.Del(authorizationHeader) }

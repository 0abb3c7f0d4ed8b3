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

// ParseCredential reads the API key of a request: one Authorization header with the given scheme and the key.
func ParseCredential(header http.Header, scheme string) Credential {
	values := header[authorizationHeader]
	if len(values) == 0 {
		return Credential{}
	}
	credential := Credential{Presented: true}
	if len(values) > 1 {
		return credential
	}
	name, key, found := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !found || !strings.EqualFold(name, scheme) || key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " ,\t") {
		return credential
	}
	credential.Valid, credential.Digest = true, rules.DigestKey(key)
	return credential
}

// removeCredential removes the API key from the header of an attempt.
func removeCredential(header http.Header) { header.Del(authorizationHeader) }

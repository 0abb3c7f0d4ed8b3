package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Digest is the SHA-256 digest of an API key. Keys are secrets: only their digests are kept in rules, messages and logs.
type Digest [sha256.Size]byte

// digestPrefix names the hash function in the text form of a digest.
const digestPrefix = "sha256:"

// shortDigestBytes is the number of bytes of a digest that identify a key in logs.
const shortDigestBytes = 4

// DigestKey returns the digest of a key.
func DigestKey(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses the text form of a digest, sha256: and 64 hexadecimal digits, and reports whether it is well-formed.
func ParseDigest(text string) (digest Digest, ok bool) {
	digits, found := strings.CutPrefix(text, digestPrefix)
	if !found || len(digits) != hex.EncodedLen(len(digest)) {
		return Digest{}, false
	}
	if _, err := hex.Decode(digest[:], []byte(digits)); err != nil {
		return Digest{}, false
	}
	return digest, true
}

// String returns the digest as written in a rules file.
func (digest Digest) String() string { return digestPrefix + hex.EncodeToString(digest[:]) }

// Short returns the first digits of the digest, which identify a key in logs.
func (digest Digest) Short() string { return hex.EncodeToString(digest[:shortDigestBytes]) }

// key is the rule of a key.
type key struct {
	team   string
	closed bool
	line   int
}

// parseKey parses a key rule with one or more digests, such as: key sha256:9f86… team=agencies.
func (parser *parser) parseKey(words []word) {
	if len(words) < 2 {
		parser.fail(KindSyntax, words[0].column, "the key has no digest", "write key sha256:DIGEST team=NAME")
		return
	}
	count := 1
	for count+1 < len(words) && strings.HasPrefix(words[count+1].text, digestPrefix) {
		count++
	}
	digests := make([]Digest, count)
	ok := true
	for i := range digests {
		valid := false
		digests[i], valid = ParseDigest(words[i+1].text)
		if !valid {
			// The word is not quoted: it may be the key itself.
			parser.fail(KindValue, words[i+1].column, "the key is not a SHA-256 digest", "write the digest that sequoiaspanctl key new prints, sha256: and 64 hexadecimal digits")
		}
		ok = ok && valid
	}
	k := key{line: parser.line}
	ok = parser.parseOptions(words[count-1:], optionParsers{
		"team": func(o option) bool { return parser.parseNameOption(o, &k.team) },
		"access": func(o option) bool {
			return parser.parseFlag(o, "none", "write access=none to refuse all requests with the key, or omit the option", &k.closed)
		},
	}) && ok
	if !ok {
		return
	}
	if (k.team == "") != k.closed {
		parser.fail(KindSyntax, words[0].column, "the key names no team", "add team=NAME, or access=none to refuse all requests with the key")
		return
	}
	for i, digest := range digests {
		if previous, found := parser.keys[digest]; found {
			parser.failDuplicate(words[i+1].column, "key "+digest.Short(), previous.line)
			return
		}
		parser.keys[digest] = k
	}
}

// resolveKeys fills in the teams of the keys, and reports keys of teams that no rule declares.
func (parser *parser) resolveKeys() {
	for digest, k := range parser.keys {
		team := parser.set.teams[k.team]
		if team == nil && !k.closed {
			parser.line = k.line
			parser.fail(KindReference, 1, fmt.Sprintf("the key names team %q, which no rule declares", shorten(k.team)), "declare it with a line team "+shorten(QuoteName(k.team)))
			continue
		}
		parser.set.keys[digest] = team
	}
}

// KeysRequired reports whether requests need the key of a team, except on public routes.
func (set *Set) KeysRequired() bool {
	return len(set.keys) > 0 || set.callerLimits != nil && set.callerLimits.KeysRequired
}

// TeamOfKey returns the team that holds a key, or nil.
func (set *Set) TeamOfKey(digest Digest) *Team { return set.keys[digest] }

// IsClosedKey reports whether all requests with a key are refused, though the key is known.
func (set *Set) IsClosedKey(digest Digest) bool {
	team, known := set.keys[digest]
	return known && team == nil
}

package rules

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes limits the length of a quoted name.
const MaxNameBytes = 64 << 10

// word is a token of a line and its column. Quoted parts of the text keep their quotes.
type word struct {
	text   string
	column int
}

// splitLine splits a line into its words and its comment. A double quote at the beginning of a word, or after one of the separators
// = , and : in it, begins a quoted string with the escapes of Go, in which spaces and the characters of the grammar have no meaning.
// If a quoted string has no end, valid is false and column is its position.
func splitLine(line string) (words []word, comment string, commented, valid bool, column int) {
	start, startColumn := -1, 0
	column = 1
	for i := 0; i < len(line); {
		r, size := utf8.DecodeRuneInString(line[i:])
		switch {
		case r == '#':
			if start >= 0 {
				words = append(words, word{line[start:i], startColumn})
			}
			return words, line[i+1:], true, true, column
		case r == ' ' || r == '\t':
			if start >= 0 {
				words = append(words, word{line[start:i], startColumn})
			}
			start = -1
		default:
			if r == '"' && (start < 0 || isSeparator(line[i-1])) {
				quoted, err := strconv.QuotedPrefix(line[i:])
				if err != nil {
					return nil, "", false, false, column
				}
				size = len(quoted)
			}
			if start < 0 {
				start, startColumn = i, column
			}
		}
		column += utf8.RuneCountInString(line[i : i+size])
		i += size
	}
	if start >= 0 {
		words = append(words, word{line[start:], startColumn})
	}
	return words, "", false, true, column
}

// isSeparator reports whether a quoted string may follow a character within a word.
func isSeparator(c byte) bool { return c == '=' || c == ',' || c == ':' }

// splitQuoted splits a text at each separator that is not part of a quoted string.
func splitQuoted(text string, separator byte) []string {
	var parts []string
	start := 0
	for i := 0; i < len(text); i++ {
		if text[i] == '"' && (i == 0 || isSeparator(text[i-1])) {
			if quoted, err := strconv.QuotedPrefix(text[i:]); err == nil {
				i += len(quoted) - 1
				continue
			}
		}
		if text[i] == separator {
			parts = append(parts, text[start:i])
			start = i + 1
		}
	}
	return append(parts, text[start:])
}

// unquote returns the value of a text that may be quoted as a whole. It reports false for an invalid or partly quoted text, and for a value
// that is not valid UTF-8.
func unquote(text string) (value string, quoted, valid bool) {
	if !strings.HasPrefix(text, `"`) {
		return text, false, true
	}
	value, err := strconv.Unquote(text)
	return value, true, err == nil && utf8.ValidString(value)
}

// QuoteName returns a name as written in a rules file: as it is, if that is possible, else quoted.
func QuoteName(name string) string {
	if isBareName(name) {
		return name
	}
	return strconv.Quote(name)
}

// QuotePath returns a path as written in a rules file.
func QuotePath(path string) string {
	if isBareText(path) && isCleanPrefix(path) {
		return path
	}
	return strconv.Quote(path)
}

// QuoteRoute returns the host and the prefix of a route as written in a rules file.
func QuoteRoute(host, prefix string) string {
	if isBareText(host+prefix) && isBareHost(host) && isCleanPrefix(prefix) {
		return host + prefix
	}
	return strconv.Quote(host + prefix)
}

// isBareText reports whether a text has graphic ASCII characters only, and none with a meaning in the grammar.
func isBareText(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > unicode.MaxASCII || r == 0x7f || r == '"' || r == '#' })
}

// isBareHost reports whether a host in lower case is a name without a port, which needs no quotes.
func isBareHost(host string) bool {
	return host == hostName(host) && !strings.ContainsAny(host, "[]@?")
}

// isBareName reports whether a name needs no quotes.
func isBareName(name string) bool {
	return name != "" && len(name) <= maxBareNameBytes && !strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	})
}

// IsHeaderSafe reports whether a name reaches its reader unchanged as the value of an HTTP header.
func IsHeaderSafe(name string) bool {
	return name != "" && strings.Trim(name, " ") == name && !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}

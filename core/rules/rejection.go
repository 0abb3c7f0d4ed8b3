package rules

import (
	"fmt"
	"strconv"
)

// Rejection is a value of the configuration that rules were translated from and that they do not carry as it was written.
type Rejection struct {
	File   string
	Row    string // such as "routes 3, r-pay"
	Field  string
	Reason string // what is in force instead
}

// String returns the rejection as a sentence for operators.
func (rejection Rejection) String() string {
	return fmt.Sprintf("%s, %s, %s: %s", rejection.File, rejection.Row, rejection.Field, rejection.Reason)
}

// Rule returns the rejection as a rule without its comment.
func (rejection Rejection) Rule() string {
	return fmt.Sprintf("rejected %s row=%s field=%s reason=%s", strconv.Quote(rejection.File), strconv.Quote(rejection.Row), strconv.Quote(rejection.Field), strconv.Quote(rejection.Reason))
}

// parseRejection parses a rejected rule. It changes no decision: it travels with the rules so that each instance can show it.
func (parser *parser) parseRejection(words []word) {
	rejection := Rejection{}
	file, valid := parser.parseName(words, "rejected")
	rejection.File = file
	valid = parser.parseOptions(words, optionParsers{
		"row":    func(o option) bool { return parser.parseText(o, &rejection.Row) },
		"field":  func(o option) bool { return parser.parseText(o, &rejection.Field) },
		"reason": func(o option) bool { return parser.parseText(o, &rejection.Reason) },
	}) && valid
	if valid {
		parser.set.rejections = append(parser.set.rejections, rejection)
	}
}

// Rejections returns what the rules do not carry of the configuration that they were translated from, in the order of the file.
func (set *Set) Rejections() []Rejection { return set.rejections }

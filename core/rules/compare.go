package rules

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is a rule that differs between two versions.
type Change struct {
	Rule          string // kind and name, such as "service balances"
	Before, After string // options in alphabetical order; empty for a rule that is added or removed
	Line          int    // in the later version, or in the earlier one if the rule is removed
	Added         bool
	Removed       bool
}

// String returns the change as a line for operators.
func (change Change) String() string {
	switch {
	case change.Added:
		return fmt.Sprintf("line %d: added %s", change.Line, join(change.Rule, change.After))
	case change.Removed:
		return fmt.Sprintf("removed %s", join(change.Rule, change.Before))
	}
	return fmt.Sprintf("line %d: changed %s: %s", change.Line, change.Rule, optionChanges(change.Before, change.After))
}

// statement is a rule as it is compared: comments, order of lines and options and white space do not matter.
type statement struct {
	options string // separated by spaces
	line    int
}

// Compare returns the rules that differ between two texts, in the order of their lines, removed ones last.
func Compare(before, after string) []Change {
	earlier, later := statements(before), statements(after)
	var changes []Change
	for _, rule := range slices.Sorted(maps.Keys(later)) {
		now := later[rule]
		was, found := earlier[rule]
		switch {
		case !found:
			changes = append(changes, Change{Rule: rule, After: now.options, Line: now.line, Added: true})
		case was.options != now.options:
			changes = append(changes, Change{Rule: rule, Before: was.options, After: now.options, Line: now.line})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Line, b.Line) })
	var removed []Change
	for _, rule := range slices.Sorted(maps.Keys(earlier)) {
		if _, found := later[rule]; !found {
			removed = append(removed, Change{Rule: rule, Before: earlier[rule].options, Line: earlier[rule].line, Removed: true})
		}
	}
	slices.SortStableFunc(removed, func(a, b Change) int { return cmp.Compare(a.Line, b.Line) })
	return append(changes, removed...)
}

// statements returns the rules of a text by kind and name. Routes of the same path differ by their methods.
func statements(text string) map[string]statement {
	out := map[string]statement{}
	for i, line := range strings.Split(text, "\n") {
		parsed, _, _, _, _ := splitLine(line)
		if len(parsed) == 0 {
			continue
		}
		words := make([]string, len(parsed))
		for i, w := range parsed {
			words[i] = w.text
		}
		named := min(2, len(words))
		if words[0] == "callers" {
			named = 1
		}
		rule := strings.Join(words[:named], " ")
		options := slices.Sorted(slices.Values(words[named:]))
		for _, option := range options {
			if words[0] == "route" && strings.HasPrefix(option, "methods=") {
				rule += " " + option
			}
		}
		out[rule] = statement{strings.Join(options, " "), i + 1}
	}
	return out
}

// optionChanges returns what differs between two lists of options.
func optionChanges(before, after string) string {
	earlier, later := optionsByKey(before), optionsByKey(after)
	var out []string
	for _, key := range slices.Sorted(maps.Keys(later)) {
		was, found := earlier[key]
		switch {
		case !found:
			out = append(out, fmt.Sprintf("%s=%s instead of the default", key, later[key]))
		case was != later[key]:
			out = append(out, fmt.Sprintf("%s=%s instead of %s", key, later[key], was))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(earlier)) {
		if _, found := later[key]; !found {
			out = append(out, fmt.Sprintf("the default instead of %s=%s", key, earlier[key]))
		}
	}
	return strings.Join(out, ", ")
}

func optionsByKey(options string) map[string]string {
	out := map[string]string{}
	words, _, _, _, _ := splitLine(options)
	for _, option := range words {
		key, value, _ := strings.Cut(option.text, "=")
		out[key] = value
	}
	return out
}

func join(rule, options string) string {
	if options == "" {
		return rule
	}
	return rule + " " + options
}

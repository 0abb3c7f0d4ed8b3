package instance

import (
	"cmp"
	"fmt"
)

// Revision identifies a state of the platform's list. A platform that is restored from an older copy of its store assigns some
// numbers again, and begins a new generation to keep them distinct. The zero value stands for no state.
type Revision struct {
	Generation uint64
	Number     uint64
}

// Compare compares two revisions by generation and then by number. The result is negative, 0 or positive, as from cmp.Compare.
func (revision Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(revision.Generation, other.Generation), cmp.Compare(revision.Number, other.Number))
}

// After reports whether the revision is later than other.
func (revision Revision) After(other Revision) bool { return revision.Compare(other) > 0 }

// IsZero reports whether the revision stands for no state. Numbers of real revisions start above 0.
func (revision Revision) IsZero() bool { return revision.Number == 0 }

// String returns the revision in the form GENERATION.NUMBER, for logs.
func (revision Revision) String() string {
	return fmt.Sprintf("%d.%d", revision.Generation, revision.Number)
}

// Later returns the later of two revisions.
func Later(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// Earlier returns the earlier of two revisions.
func Earlier(a, b Revision) Revision {
	if a.After(b) {
		return b
	}
	return a
}

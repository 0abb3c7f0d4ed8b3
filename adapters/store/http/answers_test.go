package http

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sequoiaspan/sequoiaspan/testing/raw"
)

// TestInvalidAnswersAreNotUsed guards against a value, such as the rules, with the sizes of its chunks in it, and against a write that is taken for done.
func TestInvalidAnswersAreNotUsed(t *testing.T) {
	for name, text := range raw.InvalidAnswers("Revision: 7\r\n", "service payouts") {
		store := &Store{Address: raw.Answer(t, text)}
		for op, call := range map[string]func() error{
			"get":       func() error { _, _, err := store.Get(t.Context(), "key"); return err },
			"get newer": func() error { _, _, _, err := store.GetNewer(t.Context(), "key", 6); return err },
			"watch":     func() error { _, _, err := store.Watch(t.Context(), "key", 6); return err },
		} {
			must.Error(t, call(), must.Sprint(op, ": ", name))
		}
	}
	// The answer to a write has no body that is read.
	for name, text := range raw.InvalidHeads("Revision: 7\r\n", "service payouts") {
		store := &Store{Address: raw.Answer(t, text)}
		_, err := store.CompareAndSwap(t.Context(), "key", 6, []byte("value"))
		must.Error(t, err, must.Sprint(name))
		must.Error(t, store.Delete(t.Context(), "key"), must.Sprint(name))
	}
}

// TestValueWithoutALengthIsWhole reads a value that ends with its connection.
func TestValueWithoutALengthIsWhole(t *testing.T) {
	store := &Store{Address: raw.Answer(t, "HTTP/1.0 200 OK\r\nRevision: 7\r\n\r\nservice payouts")}
	value, revision, err := store.Get(t.Context(), "key")
	must.NoError(t, err)
	must.EqOp(t, 7, revision)
	must.EqOp(t, "service payouts", string(value))
}

package entry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sequoiaspan/sequoiaspan/core/idempotency"
)

func tableOf(members int) *idempotency.Table {
	var all []idempotency.Incarnation
	for i := range members {
		all = append(all, idempotency.NewIncarnation(fmt.Sprintf("entry-%d", i), "0193a1b2-0000-7000-8000-000000000000"))
	}
	table := (&idempotency.Table{}).ChangeMembers(nil, all)
	return table.ChangeMembers(all[:1], []idempotency.Incarnation{"entry-0/2"})
}

func TestTableRoundTrip(t *testing.T) {
	table := tableOf(48)
	value, err := encodeTable(table)
	must.NoError(t, err)
	read, err := decodeTable(value)
	must.NoError(t, err)
	must.Eq(t, table, read)
	empty, err := decodeTable(nil)
	must.NoError(t, err)
	must.Eq(t, 0, empty.Epoch)
}

// TestDamagedTablesAreRefused checks that decoding a corrupt value never panics and never returns a table that fails Check.
func TestDamagedTablesAreRefused(t *testing.T) {
	value, err := encodeTable(tableOf(3))
	must.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		damaged := append([]byte(nil), value...)
		for range rapid.IntRange(1, 5).Draw(t, "damages") {
			damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		table, err := decodeTable(damaged[:rapid.IntRange(0, len(damaged)).Draw(t, "length")])
		if err == nil && table.Check() != nil {
			t.Fatal("decoded an invalid table")
		}
	})
}

// BenchmarkTable decodes the key table and reports its stored size.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{48, 220, 880} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			table := tableOf(n)
			value, err := encodeTable(table)
			must.NoError(b, err)
			for b.Loop() {
				_, err := decodeTable(value)
				must.NoError(b, err)
			}
			b.ReportMetric(float64(len(value)), "stored-bytes")
		})
	}
}

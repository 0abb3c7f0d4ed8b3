package yamux

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sequoiaspan/sequoiaspan/core/instance"
	"github.com/sequoiaspan/sequoiaspan/entry"
)

// makeLists returns complete lists of the given sizes.
func makeLists(entries, servers int) entry.Lists {
	revision := revisionAt(1)
	lists := entry.Lists{
		Entries: instance.Changes[instance.Entry]{Snapshot: true, Revision: revision}, Servers: instance.Changes[instance.Server]{Snapshot: true, Revision: revision},
	}
	address := netip.MustParseAddrPort("10.10.10.10:8080")
	for i := range entries {
		name := fmt.Sprintf("front-gt-central-a-%d", i)
		lists.Entries.Items = append(lists.Entries.Items, instance.Item[instance.Entry]{Name: name, Revision: revision, Value: instance.Entry{
			Name: name, Domain: "gt-central-a", Region: "gt-central", Caller: address, Peer: address, Operator: address,
		}})
	}
	for i := range servers {
		name := fmt.Sprintf("i-%010d", i)
		lists.Servers.Items = append(lists.Servers.Items, instance.Item[instance.Server]{Name: name, Revision: revision, Value: instance.Server{
			Name: name, Service: fmt.Sprintf("service-%d", i%500), Domain: "gt-central-a", Address: address, Slots: 4, Started: time.Unix(1, 0),
		}})
	}
	return lists
}

// BenchmarkLists measures a pull of whole lists and of one change.
func BenchmarkLists(b *testing.B) {
	for _, size := range [][2]int{{48, 41}, {220, 2750}, {880, 11000}} {
		catalog := instance.Catalog[instance.Server]{}
		whole := makeLists(size[0], size[1])
		catalog.Apply(whole.Servers)
		b.Run(fmt.Sprintf("whole-%d-%d", size[0], size[1]), func(b *testing.B) {
			now, bytes := time.Now(), 0
			for b.Loop() {
				text, err := proto.Marshal(listsToWire(whole, now))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(text)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
		b.Run(fmt.Sprintf("change-%d-%d", size[0], size[1]), func(b *testing.B) {
			now, bytes, revision := time.Now(), 0, revisionAt(1)
			for b.Loop() {
				before := revision
				revision.Number++
				item := whole.Servers.Items[int(revision.Number)%len(whole.Servers.Items)]
				item.Revision = revision
				catalog.Apply(instance.Changes[instance.Server]{Revision: revision, Items: []instance.Item[instance.Server]{item}})
				text, err := proto.Marshal(listsToWire(entry.Lists{Servers: catalog.Since(before)}, now))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(text)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}

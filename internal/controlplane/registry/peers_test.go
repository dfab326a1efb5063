package registry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// Target tables that differ exchange the parts that differ, not everything, and end up
// equal though each has something newer.
func TestTableDigest_SendsOnlyDifferingPartitions(t *testing.T) {
	is := is.New(t)
	a, b := newIncrementalRegistry(), newIncrementalRegistry()
	for i := range 300 {
		update := targets.Update{Targets: []targets.Target{targetWithRegistrar(i, 1, "g")}}
		a.deliver(update)
		b.deliver(update)
	}
	a.deliver(targets.Update{Targets: []targets.Target{targetWithRegistrar(3, 2, "h")}})
	// Here the target has sent further heartbeats, with nothing new in them.
	b.deliver(targets.Update{Targets: []targets.Target{targetWithRegistrar(3, 9, "g")}})
	is.True(a.Targets.Digest() != b.Targets.Digest())
	sent := 0
	// compare has one registry answer the other's digest.
	compare := func(from, to *incrementalRegistry) {
		digest := TableDigest{Parts: to.Targets.PartDigests()}
		for _, command := range from.Step(from.now, event.Received{From: "y", Message: digest}) {
			send, isSend := command.(event.Send)
			if !isSend {
				continue
			}
			if update, isUpdate := send.Message.(targets.Update); isUpdate {
				sent += len(update.Targets)
				to.deliver(update)
			}
		}
	}
	compare(a, b)
	compare(b, a)
	is.Equal(a.Targets.Digest(), b.Targets.Digest())
	is.True(sent < 30)
}

// A peer whose target table goes on differing is sent digests at every third heartbeat, and
// at the fifteenth the whole table; one that has restarted is sent the whole table at once.
func TestPeerHeartbeat_ReconcilesAfterRepeatedMismatches(t *testing.T) {
	is := is.New(t)
	r := newIncrementalRegistry()
	r.deliver(targets.Update{Targets: []targets.Target{targetWithRegistrar(1, 1, "g")}})
	// sent lists what the peer is sent upon a heartbeat with another digest.
	sent := func(run ids.RunID) string {
		heartbeat := PeerHeartbeat{ID: "g", RunID: run, TargetsDigest: r.Targets.Digest() + 1}
		kinds := ""
		for _, command := range r.Step(r.now, event.Received{From: "g", Message: heartbeat}) {
			if send, ok := command.(event.Send); ok && send.To == "g" {
				kinds += fmt.Sprintf("%T", send.Message)
			}
		}
		return kinds
	}
	for heartbeat := 1; heartbeat <= 15; heartbeat++ {
		want := ""
		switch {
		case heartbeat == 1, heartbeat == 15:
			want = "targets.Update"
		case heartbeat%3 == 0:
			want = "registry.TableDigest"
		}
		is.Equal(sent(1), want)
	}
	is.Equal(sent(2), "targets.Update")
}

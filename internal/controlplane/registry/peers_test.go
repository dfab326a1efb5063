package registry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// Registries with different target tables exchange only the parts that differ, and converge
// even if each has newer entries than the other.
func TestTableDigest_SendsOnlyDifferingParts(t *testing.T) {
	is := is.New(t)
	a, b := newIncrementalRegistry(), newIncrementalRegistry()
	for i := range 300 {
		update := targets.Update{Targets: []targets.Target{targetWithRegistrar(i, 1, "g")}}
		a.deliver(update)
		b.deliver(update)
	}
	a.deliver(targets.Update{Targets: []targets.Target{targetWithRegistrar(3, 2, "h")}})
	// At b, the target has sent further heartbeats without changes.
	b.deliver(targets.Update{Targets: []targets.Target{targetWithRegistrar(3, 9, "g")}})
	is.True(a.Targets.Digest() != b.Targets.Digest())
	sent := 0
	// compare passes to's digest to from, and from's updates to to.
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

// A peer whose target table keeps differing is sent digests at every third heartbeat, and
// the whole table at the fifteenth. A restarted peer is sent the whole table at once.
func TestPeerHeartbeat_ReconcilesAfterRepeatedMismatches(t *testing.T) {
	is := is.New(t)
	r := newIncrementalRegistry()
	r.deliver(targets.Update{Targets: []targets.Target{targetWithRegistrar(1, 1, "g")}})
	// sent returns the types of the messages sent to the peer after a heartbeat with a
	// different digest.
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

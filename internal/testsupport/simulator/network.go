package simulator

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/transport/wire"
)

// networkConditions is the unreliability of the network: the shares of messages that are lost and
// duplicated, and the maximum delay in addition to the latency.
type networkConditions struct {
	loss, duplication float64
	jitter            time.Duration
}

// latency draws the one-way latency of a message between two zones.
func (w *World) latency(a, b ids.Name) time.Duration {
	base := 200 * time.Microsecond
	switch {
	case a == b:
	case w.Plan.Region(a) == w.Plan.Region(b):
		base = time.Millisecond
	default:
		base = time.Duration(max(w.Plan.LatencyMillis, 2)) * time.Millisecond / 2
	}
	return base + w.randomDuration(0, w.network.jitter)
}

// delivers reports whether a message is neither blocked by a partition nor lost at random.
func (w *World) delivers(fromName string, from ids.Name, toName string, to ids.Name) bool {
	for _, p := range w.partitions {
		if p.crosses(fromName, from, toName, to) {
			return false
		}
	}
	return w.network.loss == 0 || w.random.Float64() >= w.network.loss
}

// send sends a message between daemons. It is delivered to the process that has the address when it
// arrives, and lost if the connection is reset before that.
func (w *World) send(from *process, to ids.Address, msg any) {
	if w.Defect.AlterMessage != nil {
		name := ""
		if receiver := w.processByAddress[to]; receiver != nil {
			name = receiver.name
		}
		var pass bool
		if msg, pass = w.Defect.AlterMessage(from.name, name, msg); !pass {
			return
		}
	}
	copies := 1
	if w.network.duplication > 0 && w.random.Float64() < w.network.duplication {
		copies = 2
	}
	for range copies {
		receiver := w.processByAddress[to]
		if receiver == nil {
			return
		}
		if to != from.address && !w.delivers(from.name, from.zone, receiver.name, receiver.zone) {
			continue
		}
		delay := time.Duration(0)
		if to != from.address {
			delay = w.latency(from.zone, receiver.zone) + w.linkDelay(from, receiver, msg)
		}
		pair := newEndpoints(from.name, receiver.name)
		resets := w.connections.resets[pair]
		w.schedule(delay, func() {
			if receiver := w.processByAddress[to]; receiver != nil && receiver.up && w.connections.resets[pair] == resets {
				receiver.deliver(event.Received{From: from.address, Message: msg})
			}
		})
	}
}

// linkDelay returns the queueing and transmission delay of a message between two stores at
// Options.LinkBitsPerSecond.
func (w *World) linkDelay(from, to *process, msg any) time.Duration {
	if w.LinkBitsPerSecond == 0 || from.role != membership.Store || to.role != membership.Store {
		return 0
	}
	raw, err := wire.Encode(msg)
	if err != nil {
		return 0
	}
	took := time.Duration(float64(len(raw)*8) / w.LinkBitsPerSecond * float64(time.Second))
	from.linkOut = max(from.linkOut, w.now).Add(took)
	to.linkIn = max(to.linkIn, from.linkOut.Add(-took)).Add(took)
	return to.linkIn.Sub(w.now)
}

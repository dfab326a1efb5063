package distribution

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// link simulates a link that delivers pushes to one proxy in order. Acknowledgements arrive without
// delay.
type link struct {
	*Distributor
	proxy membership.Member
	delay time.Duration
	// isLost reports whether a push that is sent now is dropped.
	isLost    func() bool
	inTransit []arrival
	// sentTargets and sentConfigurationBytes count what was sent, including lost pushes.
	sentTargets, sentConfigurationBytes int
	// receivedAt is when the proxy first received each target.
	receivedAt map[ids.InstanceID]ids.Time
}

// arrival is a push in transit.
type arrival struct {
	at   ids.Time
	push Push
}

func newLink(delay time.Duration) *link {
	l := &link{
		Distributor: New(7, &event.Outbox{}),
		proxy:       membership.Member{ID: "c1", Address: "c1", RunID: 1},
		delay:       delay,
		isLost:      func() bool { return false },
		receivedAt:  map[ids.InstanceID]ids.Time{},
	}
	l.InitialRetryTimeout, l.RefreshInterval = 400*time.Millisecond, time.Second
	l.SkipEmptyPushes = true
	return l
}

// step distributes the content, and delivers and acknowledges the pushes that are due.
func (l *link) step(now ids.Time, content Content) {
	for _, push := range distribute(l.Distributor, now, []membership.Member{l.proxy}, content) {
		l.sentTargets += len(push.Targets)
		l.sentConfigurationBytes += len(push.Configuration)
		if !l.isLost() {
			l.inTransit = append(l.inTransit, arrival{at: now.Add(l.delay), push: push})
		}
	}
	for len(l.inTransit) > 0 && l.inTransit[0].at <= now {
		push := l.inTransit[0].push
		l.inTransit = l.inTransit[1:]
		for _, target := range push.Targets {
			if _, ok := l.receivedAt[target.Instance]; !ok {
				l.receivedAt[target.Instance] = now
			}
		}
		l.HandleAck(now, Ack{Proxy: "c1", RunID: 1, Number: push.Number, Revision: push.Revision, Now: now})
	}
}

// newTargets returns n targets named t0, t1 and so on.
func newTargets(n int) []targets.Target {
	var list []targets.Target
	for i := range n {
		list = append(list, targets.Target{Instance: ids.InstanceID(fmt.Sprint("t", i)), Sequence: 1})
	}
	return list
}

// On a congested link acknowledgements take longer than the initial retry timeout. Retransmissions
// must not keep the link congested (a metastable failure).
func TestDistributor_DoesNotFloodSlowLink(t *testing.T) {
	is := is.New(t)
	l := newLink(1500 * time.Millisecond)
	const initial = 400
	for ms := 0; ms < 20000; ms += 50 {
		// One target is added each second.
		n := initial + ms/1000
		list := newTargets(n)
		l.step(at(ms), Content{Revision: 1, Configuration: fixedConfiguration("p"), Version: uint64(n), Targets: listOf(&list)})
	}
	t.Logf("%d targets were sent %d times in total, the configuration %d times", initial+19, l.sentTargets, l.sentConfigurationBytes)
	is.True(len(l.receivedAt) >= initial+17)
	is.True(l.sentTargets < 3*initial/2)
	is.True(l.sentConfigurationBytes <= 3)
}

// Targets that were lost while the link was down must be sent again as soon as a later push is
// acknowledged, however long the outage was.
func TestDistributor_ResendsLostTargetsAfterReconnect(t *testing.T) {
	is := is.New(t)
	l := newLink(20 * time.Millisecond)
	list := newTargets(3)
	down := false
	l.isLost = func() bool { return down }
	for ms := 0; ms < 12000; ms += 50 {
		switch ms {
		case 2000:
			down = true
		case 3000:
			list = newTargets(4)
		case 9000:
			down = false
		}
		l.step(at(ms), Content{Version: uint64(len(list)), Targets: listOf(&list)})
	}
	delay := l.receivedAt["t3"].Sub(at(9000))
	t.Logf("received %s after the link recovered", delay)
	is.True(delay <= 1200*time.Millisecond)
}

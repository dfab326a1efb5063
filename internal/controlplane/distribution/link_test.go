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

// link carries pushes to one proxy, in order, and its acknowledgements back.
type link struct {
	*Distributor
	proxy membership.Member
	delay time.Duration
	// isLost reports whether a push that is sent now is lost.
	isLost    func() bool
	inTransit []arrival
	// sentTargets and sentConfigurationBytes count what was sent, lost or not.
	sentTargets, sentConfigurationBytes int
	// knownSince is since when the proxy has had each target.
	knownSince map[ids.InstanceID]ids.Time
}

// arrival is a push on its way.
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
		knownSince:  map[ids.InstanceID]ids.Time{},
	}
	l.InitialRetryTimeout, l.RefreshInterval = 400*time.Millisecond, time.Second
	l.SkipEmptyPushes = true
	return l
}

// step makes one round, and delivers what is due.
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
			if _, ok := l.knownSince[target.Instance]; !ok {
				l.knownSince[target.Instance] = now
			}
		}
		l.HandleAck(now, Ack{Proxy: "c1", RunID: 1, Number: push.Number, Revision: push.Revision, Now: now})
	}
}

// newTargets are n targets, t0 and so on.
func newTargets(n int) []targets.Target {
	var list []targets.Target
	for i := range n {
		list = append(list, targets.Target{Instance: ids.InstanceID(fmt.Sprint("t", i)), Sequence: 1})
	}
	return list
}

// On a full link an acknowledgement takes longer than the initial retry time-out. When
// everything in flight was sent again every 600 ms until then, that kept the link
// full: a metastable failure.
func TestDistributor_DoesNotFloodSlowLink(t *testing.T) {
	is := is.New(t)
	l := newLink(1500 * time.Millisecond)
	const initial = 400
	for ms := 0; ms < 20000; ms += 50 {
		// One more target in each second.
		n := initial + ms/1000
		list := newTargets(n)
		l.step(at(ms), Content{Revision: 1, Configuration: fixedConfiguration("p"), Version: uint64(n), Targets: listOf(&list)})
	}
	t.Logf("%d targets were sent %d times in all, the configuration %d times", initial+19, l.sentTargets, l.sentConfigurationBytes)
	is.True(len(l.knownSince) >= initial+17)
	is.True(l.sentTargets < 3*initial/2)
	is.True(l.sentConfigurationBytes <= 3)
}

// What was lost with a broken connection is sent again as soon as anything sent later is
// acknowledged, however long the connection was down.
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
	delay := l.knownSince["t3"].Sub(at(9000))
	t.Logf("known %s after the link was up again", delay)
	is.True(delay <= 1200*time.Millisecond)
}

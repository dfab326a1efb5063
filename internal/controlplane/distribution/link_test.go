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
	out                    *event.Outbox
	proxy                  membership.Member
	delay                  time.Duration
	lost                   func(now ids.Time) bool
	inTransit              []arrival
	sentTargets            int
	sentConfigurationBytes int
	// knownSince is what the proxy goes by, and since when.
	knownSince map[ids.InstanceID]ids.Time
}

type arrival struct {
	at   ids.Time
	push Push
}

func newLink(delay time.Duration) *link {
	out := &event.Outbox{}
	l := &link{
		Distributor: New(7, out), out: out, proxy: membership.Member{ID: "c1", Address: "c1", RunID: 1}, delay: delay,
		lost: func(ids.Time) bool { return false }, knownSince: map[ids.InstanceID]ids.Time{},
	}
	l.InitialRetryTimeout, l.RefreshInterval = 400*time.Millisecond, time.Second
	l.SkipEmptyPushes = true
	return l
}

// step makes one round, and delivers what is due.
func (l *link) step(now ids.Time, load Content) {
	l.Distribute(now, []membership.Member{l.proxy}, load)
	for _, c := range l.out.Drain() {
		p := c.(event.Send).Msg.(Push)
		l.sentTargets += len(p.Targets)
		l.sentConfigurationBytes += len(p.Configuration)
		if !l.lost(now) {
			l.inTransit = append(l.inTransit, arrival{now.Add(l.delay), p})
		}
	}
	for len(l.inTransit) > 0 && l.inTransit[0].at <= now {
		p := l.inTransit[0].push
		l.inTransit = l.inTransit[1:]
		for _, t := range p.Targets {
			if _, ok := l.knownSince[t.Instance]; !ok {
				l.knownSince[t.Instance] = now
			}
		}
		l.HandleAck(now, Ack{Proxy: "c1", RunID: 1, Number: p.Number, Revision: p.Revision, Now: now})
	}
}

func newTargets(n int) []targets.Target {
	var list []targets.Target
	for i := range n {
		list = append(list, targets.Target{Instance: ids.InstanceID(fmt.Sprint("t", i)), Sequence: 1})
	}
	return list
}

// On a link that is full, an acknowledgement takes longer than the patience that
// is usual. All that was on the way was sent again every 600 ms until then, which
// kept the link full: a state that outlived its cause.
func TestDistributor_DoesNotFloodSlowLink(t *testing.T) {
	is := is.New(t)
	l := newLink(1500 * time.Millisecond)
	const all = 400
	for ms := 0; ms < 20000; ms += 50 {
		// One more target is news in each second.
		n := all + ms/1000
		list := newTargets(n)
		l.step(at(ms), Content{Revision: 1, Configuration: func(ids.Revision) []byte { return []byte("p") }, Version: uint64(n), Targets: func() []targets.Target { return list }})
	}
	t.Logf("%d targets were sent %d times in all, the policy %d times", all+19, l.sentTargets, l.sentConfigurationBytes)
	is.True(len(l.knownSince) >= all+17)
	is.True(l.sentTargets < 3*all/2)
	is.True(l.sentConfigurationBytes <= 3)
}

// What a broken connection took with it goes again as soon as anything sent later is
// acknowledged, however long the link was down.
func TestDistributor_ResendsLostTargetsAfterReconnect(t *testing.T) {
	is := is.New(t)
	l := newLink(20 * time.Millisecond)
	list := newTargets(3)
	content := func() Content {
		return Content{Version: uint64(len(list)), Targets: func() []targets.Target { return list }}
	}
	down := false
	l.lost = func(ids.Time) bool { return down }
	for ms := 0; ms < 12000; ms += 50 {
		switch ms {
		case 2000:
			down = true
		case 3000:
			list = newTargets(4)
		case 9000:
			down = false
		}
		l.step(at(ms), content())
	}
	back := l.knownSince["t3"].Sub(at(9000))
	t.Logf("known %s after the link was back", back)
	is.True(back <= 1200*time.Millisecond)
}

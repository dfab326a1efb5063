package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// parcel is what one push held, and when it left.
type parcel struct {
	at ids.Time
	in []stamp
}

func (r *Distributor) deliver(now ids.Time, c membership.Member, a *account, load Content) {
	old := a.seen != load.Version || a.revision < load.Revision
	owed := len(a.open) > 0 || a.revision < load.Revision || a.held
	word := (a.told == 0 && a.echo != 0) || now.Since(a.sent) >= r.WordEvery
	if !word && !a.again && a.seen == load.Version && (!owed || now.Since(a.sent) < a.patience) {
		return
	}
	p := Push{Number: a.number + 1, Start: r.start, Revision: load.Revision, Echo: a.echo, For: a.start, Age: uint32(min(load.Age/time.Millisecond, 1<<30))}
	if a.revision < load.Revision && a.due(now, a.policy, a.policy.revision == load.Revision) {
		p.Policy = load.Policy(a.revision)
		a.policy = flight{revision: load.Revision, until: now.Add(a.patience), number: p.Number}
	}
	var in []stamp
	if old || owed {
		p.Targets, in = r.lacking(now, c, a, load.Targets())
	}
	a.seen, a.again = load.Version, false
	if r.Quiet && !word && len(in) == 0 && len(p.Policy) == 0 {
		return
	}
	a.number++
	// Only the newest few can still be acknowledged; the rest is sent again.
	if len(a.open) >= mostOpen {
		clear(a.open)
		a.held = true
	}
	if len(in) > 0 {
		a.open[a.number] = parcel{now, in}
	}
	if owed && now.Since(a.ackedAt) >= a.patience {
		a.patience = min(2*a.patience, mostPatience)
	}
	a.sent, a.told = now, a.echo
	r.out.Send(c.Address, p)
}

// HandleAck takes a proxy's word.
func (r *Distributor) HandleAck(now ids.Time, m Ack) {
	a := r.list[m.Proxy]
	if a == nil || a.start != m.Start {
		return
	}
	a.ackedAt, a.echo = now, max(a.echo, m.Now)
	a.acked, a.revision = max(a.acked, m.Number), max(a.revision, m.Revision)
	a.patience = r.ResendAfter
	if p, ok := a.open[m.Number]; ok {
		// A full or long link takes its time; what is on it isn't lost.
		a.patience = min(max(r.ResendAfter, 2*now.Since(p.at)), mostPatience)
		a.settle(p)
	}
	delete(a.open, m.Number)
	a.findLost(m)
}

// settle notes that a proxy goes by what a push held.
func (a *account) settle(p parcel) {
	for _, s := range p.in {
		a.has[s.id] = s
		if a.flying[s.id].stamp == s {
			delete(a.flying, s.id)
		}
	}
}

// findLost takes what earlier pushes held for lost: pushes arrive in order, and a
// later one has been acknowledged.
func (a *account) findLost(m Ack) {
	for n, p := range a.open {
		if n > m.Number {
			continue
		}
		for _, s := range p.in {
			if f, flies := a.flying[s.id]; a.has[s.id] != s && flies && f.stamp == s {
				delete(a.flying, s.id)
				a.held, a.again = true, true
			}
		}
		delete(a.open, n)
	}
	if a.policy.number != 0 && a.policy.number < m.Number && m.Revision < a.policy.revision {
		a.policy, a.again = flight{}, true
	}
}

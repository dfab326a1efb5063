package foreman

import (
	"bytes"
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/rounds"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/yard"
)

// deliver pushes what counters lack.
func (f *Foreman) deliver(now ticket.Tick) {
	f.delivered = now
	f.Rounds.Go(now, f.served(now), rounds.Consignment{Revision: f.view.Revision, Policy: f.difference,
		Targets: func() []yard.Target { return f.Yard.All(now) }, Version: f.Yard.Version()<<20 + uint64(f.view.Revision), Age: f.age(now)})
}

// difference gives what leads to the policy in force from an earlier revision.
func (f *Foreman) difference(from ticket.Revision) []byte {
	if from == 0 || !f.params.Thrifty {
		return f.raw
	}
	if f.deltas == nil {
		f.deltas = map[ticket.Revision][]byte{}
	}
	if f.deltas[from] == nil {
		f.deltas[from] = f.policy.Since(from)
	}
	return f.deltas[from]
}

func (f *Foreman) tellForemen(list []yard.Target) {
	if len(list) == 0 {
		return
	}
	for _, m := range f.Live(rollcall.Foreman) {
		if m.ID != f.Self.ID {
			f.Tell(m.Address, yard.Share{List: list})
		}
	}
}

// taken pushes at once what can't wait: a target that leaves or is gone.
func (f *Foreman) taken(now ticket.Tick, changed []yard.Target) {
	for _, t := range changed {
		if !t.Usable() {
			f.Say("info", "target leaves", "target", string(t.Instance), "address", string(t.Address), "gone", yes(t.Gone))
		}
	}
	// What is new or warm again can wait for the others of its moment: told one
	// by one, four hundred targets would be so many pushes to every counter.
	urgent := !f.params.Thrifty
	for _, t := range changed {
		urgent = urgent || !t.Usable() || t.Cold > 0
	}
	if len(changed) > 0 && urgent {
		f.deliver(now)
	}
}

// adopt takes a chosen policy if it is newer. It never goes back.
func (f *Foreman) adopt(raw []byte) {
	if len(raw) > 0 && bytes.Equal(raw, f.whole) {
		return
	}
	p, err := catalogue.Open(raw)
	if err != nil {
		f.Say("error", "policy unreadable", "problem", err.Error())
		return
	}
	if p.Revision < f.policy.Revision {
		return
	}
	f.whole, f.sum = raw, ledger.Sum(raw)
	if p.Revision == f.policy.Revision {
		return
	}
	f.policy, f.view, f.raw = p, p.View(), p.Pack(false)
	clear(f.deltas)
	f.view.Know(f.params.Regions)
	f.Say("info", "policy", "revision", itoa(uint64(p.Revision)))
}

// age tells how old the last agreement on the policy is.
func (f *Foreman) age(now ticket.Tick) time.Duration {
	if f.agreed == 0 {
		return time.Hour
	}
	return now.Since(f.agreed)
}

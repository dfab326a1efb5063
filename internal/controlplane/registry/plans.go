package registry

import (
	"strconv"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/state/election"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// plans is the spill as one registry has it: the table it goes by, and, while
// the duty is its own, what it plans from.
type plans struct {
	table   spill.Table
	tableAt ids.Time
	epoch   ids.Epoch
	mine    ids.Epoch
	taking  bool
	// gaveUp is when this run last gave the duty up or lost it.
	gaveUp ids.Time
	next   ids.Time
	repeat ids.Time
	ahead  map[ids.Name]forecast
	fits   map[ids.Name]spill.Fit
}

// chargeFor is for how many plans a move is charged while it doesn't show.
const chargeFor = 6

// forecast is what a zone should come to use after a plan.
type forecast struct {
	amount float64
	want   float64
	at     ids.Time
}

func newPlans() plans {
	return plans{ahead: map[ids.Name]forecast{}, fits: map[ids.Name]spill.Fit{}}
}

// takeTable goes by another registry's plan, unless it was made under an epoch
// that has ended. Whoever made it is told so: it may not have heard of the taking
// that ended its own, and would plan for nobody.
func (f *Registry) takeTable(now ids.Time, from ids.Address, t spill.Table) {
	if t.Epoch < f.epoch {
		f.Send(from, election.Term{Epoch: f.epoch})
		return
	}
	f.raise(now, t.Epoch)
	if t.Newer(f.table) {
		f.table = t
		f.Log(event.LevelInfo, "moves", "epoch", itoa(uint64(t.Epoch)), "number", itoa(uint64(t.Number)), "count", itoa(uint64(len(t.Moves))))
	}
	if !f.table.Newer(t) {
		f.tableAt = now
	}
}

func (f *Registry) spreadTable() {
	for _, m := range f.Live(membership.Registry) {
		if m.ID != f.Self.ID {
			f.Send(m.Address, f.table)
		}
	}
}

func (f *Registry) seats() []spill.LiveProxy {
	var out []spill.LiveProxy
	for _, m := range f.Live(membership.Proxy) {
		out = append(out, spill.LiveProxy{ID: m.ID, RunID: m.RunID, Zone: m.Zone})
	}
	return out
}

func (f *Registry) ranks() map[ids.Name]spill.Rank {
	out := map[ids.Name]spill.Rank{}
	for n, r := range f.view.Routes {
		out[n] = spill.Rank{Tier: r.Tier, Service: f.view.Services[r.Service].Tier, Route: n}
	}
	return out
}

// zones draws up every zone of the configuration as of now.
func (f *Registry) zones(now ids.Time) map[ids.Name]spill.Zone {
	seats, ranks := f.seats(), f.ranks()
	bears := f.bears(now)
	out := map[ids.Name]spill.Zone{}
	for n, c := range f.view.Zones {
		h := f.Reports.Zone(now, n, seats, ranks)
		h.Target, h.Acceptable, h.Maximum, h.Drained = c.Target, c.Acceptable, c.Maximum, c.Drained
		if c.Unnamed && f.options.Derive {
			f.derive(&h, bears[n])
			out[n] = h
			continue
		}
		if fit, ok := f.fits[n]; ok && fit.Kept {
			h.Maximum = max(fit.Maximum, c.Target*1.02)
		}
		out[n] = h
	}
	return out
}

// plan makes the next table from the last one and the books.
func (f *Registry) plan(now ids.Time) {
	f.Reports.Forget(f.seats())
	v := spill.View{
		Distance: f.view.Distance, Ranks: f.ranks(),
		Pending: map[ids.Name]float64{}, Leaving: map[ids.Name]float64{},
	}
	for n, c := range f.view.Zones {
		if c.Unnamed && f.options.Derive {
			continue
		}
		f.fits[n] = spill.Learn(f.Reports.Samples(n), c.Target, c.Maximum)
	}
	now0 := f.zones(now)
	for _, n := range names(now0) {
		c := now0[n]
		c.Missed = f.Reports.Missed(c)
		f.Reports.KeepDemand(c, f.table.Moves)
		v.Zones = append(v.Zones, c)
		f.charge(now, c, v)
	}
	moves := spill.Plan(v, f.table.Moves)
	f.predict(now, now0, f.table.Moves, moves)
	f.table = spill.Table{Epoch: f.mine, Number: f.table.Number + 1, Moves: moves, Uses: f.Reports.Uses(moves)}
	f.tableAt = now
	f.Log(event.LevelInfo, "planned", "epoch", itoa(uint64(f.mine)), "number", itoa(uint64(f.table.Number)), "moves", itoa(uint64(len(moves))))
}

// charge adds what earlier plans moved and reports can't show yet.
func (f *Registry) charge(now ids.Time, c spill.Zone, v spill.View) {
	a, ok := f.ahead[c.Name]
	// Live connections stay, so a move shows only as they end by themselves. What
	// it was to bring is charged in full at first, then ever less.
	left := 1 - float64(now.Sub(a.at))/float64(chargeFor*f.options.PlanEvery)
	if !ok || left <= 0 {
		delete(f.ahead, c.Name)
		return
	}
	a.amount *= left
	used := c.Used()
	if a.amount > 0 {
		v.Pending[c.Name] = min(a.amount, max(0, a.want-used))
	} else {
		v.Leaving[c.Name] = min(-a.amount, max(0, used-a.want))
	}
}

// predict notes what each zone should come to use by the change of moves.
func (f *Registry) predict(now ids.Time, zones map[ids.Name]spill.Zone, old, next []spill.Move) {
	delta := map[ids.Name]float64{}
	sum := func(list []spill.Move, sign float64) {
		for _, m := range list {
			delta[m.To] += sign * m.Amount
			delta[m.From] -= sign * m.Amount
		}
	}
	sum(old, -1)
	sum(next, 1)
	for n, d := range delta {
		if d > 1 || d < -1 {
			f.ahead[n] = forecast{amount: d, want: zones[n].Used() + d, at: now}
		}
	}
}

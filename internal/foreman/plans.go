package foreman

import (
	"strconv"
	"time"

	"dunlinwell/internal/duty"
	"dunlinwell/internal/haulage"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/parcel"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// plans is the spill as one foreman has it: the table it goes by, and, while
// the duty is its own, what it plans from.
type plans struct {
	table   haulage.Table
	tableAt ticket.Tick
	epoch   ticket.Epoch
	mine    ticket.Epoch
	taking  bool
	next    ticket.Tick
	repeat  ticket.Tick
	ahead   map[ticket.Name]forecast
	fits    map[ticket.Name]haulage.Fit
}

// chargeFor is for how many plans a move is charged while it doesn't show.
const chargeFor = 6

// forecast is what a cell should come to use after a plan.
type forecast struct {
	amount float64
	want   float64
	at     ticket.Tick
}

func newPlans() plans {
	return plans{ahead: map[ticket.Name]forecast{}, fits: map[ticket.Name]haulage.Fit{}}
}

// raise notes a higher epoch; what is under it is declined from then on.
func (f *Foreman) raise(e ticket.Epoch) {
	if e > f.epoch {
		f.epoch = e
	}
	if f.mine != 0 && f.epoch > f.mine {
		f.mine = 0
		f.Say("info", "duty lost", "duty", "planner", "epoch", itoa(uint64(f.epoch)))
	}
}

func (f *Foreman) takeTable(now ticket.Tick, t haulage.Table) {
	if t.Epoch < f.epoch {
		return
	}
	f.raise(t.Epoch)
	if t.Newer(f.table) {
		f.table = t
		f.Say("info", "moves", "epoch", itoa(uint64(t.Epoch)), "number", itoa(uint64(t.Number)), "count", itoa(uint64(len(t.Moves))))
	}
	if !f.table.Newer(t) {
		f.tableAt = now
	}
}

// planning takes the duty when it is this foreman's turn, and plans.
func (f *Foreman) planning(now ticket.Tick) {
	live := f.Live(rollcall.Foreman)
	first := len(live) > 0 && live[0].ID == f.Self.ID && now.Since(f.woke) > 2*time.Second
	if !first {
		f.mine = 0
		return
	}
	if f.mine == 0 {
		f.takeDuty(now)
		return
	}
	if now >= f.repeat {
		f.repeat = now.Add(time.Second)
		f.spreadTable()
	}
	if now >= f.next {
		f.next = now.Add(f.params.PlanEvery)
		f.plan(now)
		f.spreadTable()
	}
}

func (f *Foreman) takeDuty(now ticket.Tick) {
	if f.taking || f.view.Revision == 0 {
		return
	}
	f.taking = true
	raw, _ := parcel.Pack(duty.Held{Holder: f.Self.ID, Start: f.Self.Start, Epoch: f.epoch})
	f.Asker.Want(now, duty.Key("planner"), duty.OpTake, raw, 2*time.Second, func(at ticket.Tick, s ledger.State, out []byte) {
		f.taking = false
		h, ok := duty.Open(out)
		if s != ledger.Done || !ok || h.Holder != f.Self.ID || h.Start != f.Self.Start {
			return
		}
		f.raise(h.Epoch)
		f.mine, f.table.Epoch = h.Epoch, h.Epoch
		f.next = at.Add(min(f.params.PlanEvery, 5*time.Second))
		f.Say("info", "duty taken", "duty", "planner", "epoch", itoa(uint64(h.Epoch)))
	})
}

func (f *Foreman) spreadTable() {
	for _, m := range f.Live(rollcall.Foreman) {
		if m.ID != f.Self.ID {
			f.Tell(m.Address, f.table)
		}
	}
}

func (f *Foreman) seats() []haulage.Seat {
	var out []haulage.Seat
	for _, m := range f.Live(rollcall.Counter) {
		out = append(out, haulage.Seat{ID: m.ID, Start: m.Start, Cell: m.Cell})
	}
	return out
}

func (f *Foreman) ranks() map[ticket.Name]haulage.Rank {
	out := map[ticket.Name]haulage.Rank{}
	for n, r := range f.view.Routes {
		out[n] = haulage.Rank{Tier: r.Tier, Service: f.view.Services[r.Service].Tier, Route: n}
	}
	return out
}

// cells draws up every cell of the policy as of now.
func (f *Foreman) cells(now ticket.Tick) map[ticket.Name]haulage.Cell {
	seats, ranks := f.seats(), f.ranks()
	bears := f.bears(now)
	out := map[ticket.Name]haulage.Cell{}
	for n, c := range f.view.Cells {
		h := f.Books.Cell(now, n, seats, ranks)
		h.Target, h.Acceptable, h.Maximum, h.Emptied = c.Target, c.Acceptable, c.Maximum, c.Emptied
		if c.Unnamed && f.params.Derive {
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
func (f *Foreman) plan(now ticket.Tick) {
	f.Books.Forget(f.seats())
	v := haulage.View{Distance: f.view.Distance, Ranks: f.ranks(),
		Pending: map[ticket.Name]float64{}, Leaving: map[ticket.Name]float64{}}
	for n, c := range f.view.Cells {
		if c.Unnamed && f.params.Derive {
			continue
		}
		f.fits[n] = haulage.Learn(f.Books.Samples(n), c.Target, c.Maximum)
	}
	now0 := f.cells(now)
	for _, n := range names(now0) {
		c := now0[n]
		c.Missed = f.Books.Missed(c)
		f.Books.KeepDemand(c, f.table.Moves)
		v.Cells = append(v.Cells, c)
		f.charge(now, c, v)
	}
	moves := haulage.Plan(v, f.table.Moves)
	f.predict(now, now0, f.table.Moves, moves)
	f.table = haulage.Table{Epoch: f.mine, Number: f.table.Number + 1, Moves: moves, Uses: f.Books.Uses(moves)}
	f.tableAt = now
	f.Say("info", "planned", "epoch", itoa(uint64(f.mine)), "number", itoa(uint64(f.table.Number)), "moves", itoa(uint64(len(moves))))
}

// charge adds what earlier plans moved and reports can't show yet.
func (f *Foreman) charge(now ticket.Tick, c haulage.Cell, v haulage.View) {
	a, ok := f.ahead[c.Name]
	// Live circuits stay, so a move shows only as they end by themselves. What
	// it was to bring is charged in full at first, then ever less.
	left := 1 - float64(now.Since(a.at))/float64(chargeFor*f.params.PlanEvery)
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

// predict notes what each cell should come to use by the change of moves.
func (f *Foreman) predict(now ticket.Tick, cells map[ticket.Name]haulage.Cell, old, next []haulage.Move) {
	delta := map[ticket.Name]float64{}
	sum := func(list []haulage.Move, sign float64) {
		for _, m := range list {
			delta[m.To] += sign * m.Amount
			delta[m.From] -= sign * m.Amount
		}
	}
	sum(old, -1)
	sum(next, 1)
	for n, d := range delta {
		if d > 1 || d < -1 {
			f.ahead[n] = forecast{amount: d, want: cells[n].Used() + d, at: now}
		}
	}
}

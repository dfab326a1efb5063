package foreman

import (
	"cmp"
	"slices"

	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/signpost"
	"dunlinwell/internal/ticket"
)

// Where is the body of an answer to "where do I go".
type Where struct {
	Cell     ticket.Name      `json:"cell"`
	Counters []ticket.Address `json:"counters"`
	Lifetime int64            `json:"lifetime_ms"`
	Moved    bool             `json:"moved"`
}

func (f *Foreman) where(now ticket.Tick, c WhereCall) {
	if _, ok := f.view.Routes[c.Route]; !ok && c.Host == "" {
		f.Do(Response{ID: c.ID, Status: 404, Body: Word{"there is no route " + string(c.Route)}})
		return
	}
	w, ok := f.sight(now).Point(c.Cell, f.draw(c), f.params.Dice)
	if !ok && f.params.Always {
		w, ok = f.anybody(c.Cell)
	}
	if !ok {
		f.Do(Response{ID: c.ID, Status: 503, Body: Word{"no counter takes work now"}, Retry: 1})
		return
	}
	f.Do(Response{ID: c.ID, Status: 200, Body: Where{Cell: w.Cell, Counters: w.Counters,
		Lifetime: f.params.Lifetime.Milliseconds(), Moved: w.Moved}})
}

// draw gives the route that an ask stands for. One for a host stands for all of
// its routes, so it is drawn by what each of them uses in the asker's cell.
func (f *Foreman) draw(c WhereCall) ticket.Name {
	if c.Host == "" {
		return c.Route
	}
	var list []ticket.Name
	for _, n := range names(f.view.Routes) {
		if f.view.Routes[n].Host == c.Host {
			list = append(list, n)
		}
	}
	return f.table.Draw(c.Cell, list, f.params.Dice.Float64())
}

// anybody names counters by the roll alone, nearest cells first: a foreman that
// hears from none may be the one that is cut off, and its asker may not be.
func (f *Foreman) anybody(cell ticket.Name) (signpost.Way, bool) {
	var list []rollcall.Member
	for _, m := range f.All() {
		if m.Role == rollcall.Counter {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b rollcall.Member) int {
		gone := map[bool]int{true: 1}
		return cmp.Or(cmp.Compare(gone[a.Gone], gone[b.Gone]), cmp.Compare(f.view.Distance(cell, a.Cell), f.view.Distance(cell, b.Cell)))
	})
	if len(list) == 0 {
		return signpost.Way{}, false
	}
	w := signpost.Way{Cell: list[0].Cell}
	for _, m := range list {
		if m.Cell == w.Cell {
			w.Counters = append(w.Counters, m.Consumers())
		}
	}
	return w, true
}

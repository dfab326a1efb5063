package spill

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Report is what a proxy tells of its CPU time, every few seconds.
type Report struct {
	Proxy    ids.DaemonID
	RunID    ids.RunID
	Zone     ids.Name
	Number   ids.StreamNumber
	Interval uint32
	Rows     []Spent
	// Latency is the 95th percentile of the proxy's own time for a request,
	// queue and handling without the target's, in microseconds.
	Latency uint64
	Count   uint64
}

// Spent is CPU time by route and service in ms a second.
type Spent struct {
	Route   ids.Name
	Service ids.Name
	CPU     float64
}

// MessageNumber gives the report's number.
func (r Report) MessageNumber() uint64 { return uint64(r.Number) }

var _ = wire.Register(91, Report{})

// Missing is how many intervals without a report make a proxy's stale.
const Missing = 3

// Reports keeps the newest report of every proxy, and samples of each zone.
type Reports struct {
	last    map[ids.DaemonID]entry
	samples map[ids.Name][]Sample
	demand  map[ids.Name]map[ids.Name]float64
	missed  map[ids.Name]int
	// Span is what the planner averages over.
	Span time.Duration
}

// entry is a proxy's newest report, and the earlier ones of the span that
// the planner averages over.
type entry struct {
	Report
	at   ids.Time
	past []entry
}

// span is what the planner averages over. A single report covers so few
// requests that a quiet two seconds would pass for a recovery.
const span = 20 * time.Second

// mean gives the CPU time by route over the span.
func (e entry) mean() map[ids.Name]float64 {
	out := map[ids.Name]float64{}
	all := append([]entry{e}, e.past...)
	time := 0.0
	for _, p := range all {
		time += float64(p.Interval)
	}
	for _, p := range all {
		for _, r := range p.Rows {
			out[r.Route] += r.CPU * float64(p.Interval) / max(time, 1)
		}
	}
	return out
}

// NewBooks makes empty books.
func NewReports() *Reports {
	return &Reports{
		last: map[ids.DaemonID]entry{}, samples: map[ids.Name][]Sample{},
		demand: map[ids.Name]map[ids.Name]float64{}, missed: map[ids.Name]int{}, Span: span,
	}
}

const mostSamples = 500

// Enter takes a report; late and doubled ones are left out.
func (b *Reports) Enter(now ids.Time, r Report) {
	if e, ok := b.last[r.Proxy]; ok && e.RunID == r.RunID && r.Number <= e.Number {
		return
	}
	e := entry{Report: r, at: now}
	if old, ok := b.last[r.Proxy]; ok && old.RunID == r.RunID {
		past := append([]entry{{Report: old.Report, at: old.at}}, old.past...)
		for _, p := range past {
			if now.Sub(p.at) < b.Span {
				e.past = append(e.past, p)
			}
		}
	}
	b.last[r.Proxy] = e
	// A sample is the zone's whole CPU time with this proxy's latency.
	if r.Count >= 10 {
		s := append(b.samples[r.Zone], Sample{b.used(r.Zone), float64(r.Latency) / 1000})
		if len(s) > mostSamples {
			s = s[len(s)-mostSamples:]
		}
		b.samples[r.Zone] = s
	}
}

func (b *Reports) used(zone ids.Name) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(b.last)) {
		if e := b.last[id]; e.Zone == zone {
			for _, r := range e.Rows {
				sum += r.CPU
			}
		}
	}
	return sum
}

// LiveProxy is a live proxy as the books need it.
type LiveProxy struct {
	ID    ids.DaemonID
	RunID ids.RunID
	Zone  ids.Name
}

// Zone draws up a zone from the reports of its live proxies. One whose live
// proxies have missed reports is stale.
func (b *Reports) Zone(now ids.Time, name ids.Name, seats []LiveProxy, ranks map[ids.Name]Rank) Zone {
	c := Zone{Name: name, Gone: true}
	sum := map[ids.Name]float64{}
	for _, s := range seats {
		if s.Zone != name {
			continue
		}
		c.Gone = false
		e, ok := b.last[s.ID]
		if !ok || now.Sub(e.at) > Missing*time.Duration(e.Interval)*time.Millisecond {
			c.Stale = true
		}
		if ok && e.RunID == s.RunID {
			for route, cpu := range e.mean() {
				sum[route] += cpu
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(sum)) {
		r, ok := ranks[n]
		if !ok {
			r = Rank{Route: n}
		}
		c.Rows = append(c.Rows, Row{r, sum[n]})
	}
	slices.SortFunc(c.Rows, func(x, y Row) int { return cmp.Compare(x.Route, y.Route) })
	return c
}

// Forget drops proxies that are no longer on the list.
func (b *Reports) Forget(seats []LiveProxy) {
	for id, e := range b.last {
		if !slices.ContainsFunc(seats, func(s LiveProxy) bool { return s.ID == id && s.RunID == e.RunID }) {
			delete(b.last, id)
		}
	}
}

// Samples gives what a zone's maximum is learned from.
func (b *Reports) Samples(zone ids.Name) []Sample { return b.samples[zone] }

// Missed counts plans in a row for which a zone was stale.
func (b *Reports) Missed(c Zone) int {
	if c.Stale {
		b.missed[c.Name]++
	} else {
		b.missed[c.Name] = 0
	}
	return b.missed[c.Name]
}

// KeepDemand notes what a living zone's own fresh connections use, so that it is
// known how much to place elsewhere once the zone is gone.
func (b *Reports) KeepDemand(c Zone, moves []Move) {
	if c.Gone || c.Stale || c.Drained {
		return
	}
	d := map[ids.Name]float64{}
	for _, r := range c.Rows {
		d[r.Route] = r.CPU
		for _, m := range moves {
			if m.From == c.Name && m.Route == r.Route {
				d[r.Route] += m.Amount
			}
		}
	}
	b.demand[c.Name] = d
}

// Demand gives what a zone's fresh connections used when it last was well.
func (b *Reports) Demand(zone ids.Name) float64 {
	sum := 0.0
	for _, n := range slices.Sorted(maps.Keys(b.demand[zone])) {
		sum += b.demand[zone][n]
	}
	return sum
}

// Uses gives what each route uses in the zones that some moves are from.
func (b *Reports) Uses(moves []Move) []Use {
	var out []Use
	seen := map[ids.Name]bool{}
	for _, m := range moves {
		if seen[m.From] {
			continue
		}
		seen[m.From] = true
		for _, n := range slices.Sorted(maps.Keys(b.demand[m.From])) {
			out = append(out, Use{m.From, n, b.demand[m.From][n]})
		}
	}
	return out
}

// Draw picks one of some routes by what each uses in a zone, with a draw from 0
// up to 1; none where nothing is known, as nothing is moved there.
func (t Table) Draw(zone ids.Name, routes []ids.Name, draw float64) ids.Name {
	sum, own := 0.0, []Use{}
	for _, u := range t.Uses {
		if u.Zone == zone && slices.Contains(routes, u.Route) {
			own = append(own, u)
			sum += u.CPU
		}
	}
	for _, u := range own {
		if draw -= u.CPU / max(sum, 1e-9); draw < 0 {
			return u.Route
		}
	}
	return ""
}

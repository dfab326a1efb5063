package proxy

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

func (c *Control) clock(now ids.Time) {
	// A gap between clock events is a freeze: until a registry has spoken since,
	// nothing that this proxy knows can be trusted.
	if c.last != 0 && now.Sub(c.last) > frozen {
		c.woke = now
		c.Log(event.LevelWarn, "woke", "gap_ms", itoa(uint64(now.Sub(c.last)/time.Millisecond)))
	}
	c.last = now
	c.List.Tick(now)
	c.Client.Tick(now)
	// A registry that died may have been the only one to know of a silence.
	if !c.ByZone {
		c.targets.ExpireSilent(now)
	}
	c.targets.Forget(now, time.Hour)
	c.askConfiguration(now)
	c.inquire(now)
	c.UpdateSelf(c.ready(now), c.view.Revision)
	c.refreshTargets(now)
	c.stand(now)
}

// inStep tells whether the proxy may let requests leave: all that it goes by
// was confirmed since it last woke, and of late.
func (c *Control) inStep(now ids.Time) bool { return now < c.until() }

// ready tells whether the directory may send clients here: in step, and not
// about to fall out of it.
func (c *Control) ready(now ids.Time) bool {
	if c.Lease == Endless {
		return !c.stopping && c.inStep(now)
	}
	return !c.stopping && c.inStep(now) && !c.cutOff(now) && now.Sub(c.sure()) < agreedWithin
}

// stop tells every registry at once, so that the directory sends nobody here
// while the requests in hand are finished.
func (c *Control) stop() {
	c.stopping = true
	c.UpdateSelf(false, c.view.Revision)
	for _, f := range c.Live(membership.Registry) {
		c.Send(f.Address, membership.Snapshot{Members: []membership.Member{c.Self}, Final: true})
	}
}

func (c *Control) cutOff(now ids.Time) bool {
	after := cutAfter
	if c.ByZone {
		// Registries say a word a second to those that nothing is new for.
		after = 2 * cutAfter
	}
	return c.word != 0 && now.Sub(c.word) > after
}

// stand tells the rest of the process how the proxy stands.
func (c *Control) stand(now ids.Time) {
	f := ServingState{Ready: c.ready(now), InStep: c.inStep(now), CutOff: c.cutOff(now), Emptied: c.empty != 0}
	if f.Ready == c.footing.Ready && f.CutOff == c.footing.CutOff && f.Emptied == c.footing.Emptied && f.InStep == c.footing.InStep && c.roll == c.Version() {
		return
	}
	if f.CutOff != c.footing.CutOff || f.Ready != c.footing.Ready {
		c.Log(event.LevelInfo, "footing", "ready", strconv.FormatBool(f.Ready), "cut_off", strconv.FormatBool(f.CutOff))
	}
	f.Members = c.All()
	c.footing, c.roll = f, c.Version()
	c.Emit(f)
}

// restock hands each dispatcher its stock anew if anything in it has changed.
func (c *Control) refreshTargets(now ids.Time) {
	c.open(now)
	seats := c.seats(now)
	s := stamp{c.targets.Version(), c.Version(), c.view.Revision, c.sure() > c.woke, c.empty != 0 && (c.late || now.Sub(c.empty) >= emptyAfter), c.opened, len(seats)}
	if s == c.stocked {
		c.lease()
		c.acknowledge(now)
		return
	}
	if c.mayWait(now, s) {
		return
	}
	c.refreshed = now
	c.stocked, c.leased = s, c.sure()
	defer c.acknowledge(now)
	ended := c.ended()
	by := map[ids.Name][]dispatch.Offer{}
	clear(c.ranks)
	for _, t := range c.targets.All(now) {
		o := c.offer(now, t, seats)
		// In a large fleet most targets are others' to use.
		if !c.ByZone || some(o, c.view.Services[t.Service].DefaultCapacity) {
			by[t.Service] = append(by[t.Service], o)
		}
	}
	terms := c.terms()
	for _, n := range c.shelved {
		// A service that is gone leaves no dispatcher behind that still serves it.
		if _, ok := c.view.Services[n]; !ok {
			c.Emit(DispatchEvent{n, dispatch.ServiceState{}})
		}
	}
	c.shelved = slices.Sorted(maps.Keys(c.view.Services))
	for _, n := range c.shelved {
		sv := c.view.Services[n]
		c.Emit(DispatchEvent{n, dispatch.ServiceState{
			Targets: by[n], Capacity: sv.DefaultCapacity, Warm: time.Duration(sv.SlowStartMillis) * time.Millisecond,
			Allowance: c.allowance(sv, seats), InStep: s.step || c.Lease == Endless, Lease: c.until(), Terms: terms[n], Closed: s.shut, Ended: ended,
		}})
	}
}

// terms gives what each service's routes say.
func (c *Control) terms() map[ids.Name]map[ids.Name]dispatch.RouteTerms {
	out := map[ids.Name]map[ids.Name]dispatch.RouteTerms{}
	for n, r := range c.view.Routes {
		// Each service of a split has terms of its own.
		for _, s := range r.Services() {
			if out[s] == nil {
				out[s] = map[ids.Name]dispatch.RouteTerms{}
			}
			r.Service = s
			out[s][n] = Terms(r)
		}
	}
	return out
}

// Terms are what a route says of its requests.
func Terms(r configuration.Route) dispatch.RouteTerms {
	return dispatch.RouteTerms{Host: r.Host, Prefix: r.Prefix, Service: r.Service, Repeatable: r.Repeatable, Limit: r.Timeout()}
}

// allowance is this proxy's part of a service's retry allowance. Parts are
// whole, as places are, and add up to it: half a retry is of no use to anybody.
func (c *Control) allowance(s configuration.Service, seats []membership.Member) float64 {
	n, at := max(len(seats), 1), c.seat("retries/"+string(s.Name), seats)
	return float64(s.RetryBudget*(at+1)/n - s.RetryBudget*at/n)
}

// seatsHeld is how long a lost proxy's places stay its own: it may be cut off
// from us and still use them, until it finds out and halves its share.
const seatsHeld = 3 * time.Second

// seats gives the proxies among whom places and retries are divided.
func (c *Control) seats(now ids.Time) []membership.Member {
	var out []membership.Member
	for _, m := range c.All() {
		if m.Role != membership.Proxy {
			continue
		}
		if !m.Gone {
			c.seen[m.ID] = now
		}
		if at, ok := c.seen[m.ID]; ok && now.Sub(at) < seatsHeld {
			out = append(out, m)
		}
	}
	return out
}

// ended gives a look-up of runs that are over, as the roll stands now.
func (c *Control) ended() func(ids.DaemonID, ids.RunID) bool {
	runs := map[ids.DaemonID]membership.Member{}
	for _, m := range c.All() {
		runs[m.ID] = m
	}
	return func(id ids.DaemonID, s ids.RunID) bool {
		m, ok := runs[id]
		return ok && (m.Gone || m.RunID != s)
	}
}

// MayLeave is the last look before the first byte of a request: time is left,
// and this process was not asleep since its owner last stepped.
func MayLeave(now, due, beat ids.Time) bool {
	return now < due && now.Sub(beat) <= frozen
}

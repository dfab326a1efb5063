package targets

import "dunlinwell/internal/base/ids"

// sameToProxies tells whether two states of a target differ in nothing that a
// proxy goes by: who keeps it, and how often it has spoken, are matters between
// registries.
func sameToProxies(a, b Target) bool {
	for _, t := range []*Target{&a, &b} {
		t.Sequence, t.Material, t.Age, t.Cold, t.Occupancy = 0, 0, 0, 0, 0
		t.Keeper, t.Run = "", 0
	}
	return a == b
}

// material gives a later word as it is to be kept: with the sequence at which the
// target last changed to proxies.
func (y *Table) material(now ids.Time, e *entry, t Target) Target {
	known := e.Incarnation == t.Incarnation && e.Instance != ""
	switch {
	case !y.Thrifty:
		t.Material = t.Sequence
	case known && sameToProxies(e.Target, t) && !e.colder(now, t):
		t.Material = e.Material
		return t
	case t.Material == 0 || t.Material > t.Sequence || known && t.Material <= e.Material:
		t.Material = t.Sequence
	}
	y.public++
	return t
}

// Public gives every target as proxies are told of it: without its keeper, and
// with the sequence at which it last changed to them. A keeper that moves is no
// news to a fleet of proxies.
func (y *Table) Public(now ids.Time) []Target {
	list := y.All(now)
	for i := range list {
		t := &list[i]
		t.Sequence, t.Keeper, t.Run = t.Material, "", 0
	}
	return list
}

// PublicVersion grows with each change that proxies have to hear of.
func (y *Table) PublicVersion() uint64 { return y.public }

// MaterialSequence gives the sequence at which a target last changed to proxies.
func (y *Table) MaterialSequence(id ids.Instance) ids.Sequence {
	if e, ok := y.list[id]; ok {
		return e.Material
	}
	return 0
}

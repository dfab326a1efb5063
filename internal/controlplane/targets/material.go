package targets

import "dunlinwell/internal/base/ids"

// sameToProxies tells whether two states of a target differ in nothing that a
// proxy goes by: who keeps it, and how often it has spoken, are matters between
// registries.
func sameToProxies(a, b Target) bool {
	for _, t := range []*Target{&a, &b} {
		t.Sequence, t.ProxySequence, t.AgeMillis, t.SlowStartMillis, t.Occupancy = 0, 0, 0, 0, 0
		t.Registrar, t.RegistrarRunID = "", 0
	}
	return a == b
}

// withProxySequence gives a later word as it is to be kept: with the sequence at which the
// target last changed to proxies.
func (t *Table) withProxySequence(now ids.Time, e *entry, update Target) Target {
	known := e.Incarnation == update.Incarnation && e.Instance != ""
	switch {
	case !t.Incremental:
		update.ProxySequence = update.Sequence
	case known && sameToProxies(e.Target, update) && !e.extendsSlowStart(now, update):
		update.ProxySequence = e.ProxySequence
		return update
	case update.ProxySequence == 0 || update.ProxySequence > update.Sequence || known && update.ProxySequence <= e.ProxySequence:
		update.ProxySequence = update.Sequence
	}
	t.proxyVersion++
	return update
}

// ForProxies gives every target as proxies are told of it: without its keeper, and
// with the sequence at which it last changed to them. A keeper that moves is no
// news to a fleet of proxies.
func (t *Table) ForProxies(now ids.Time) []Target {
	list := t.All(now)
	for i := range list {
		target := &list[i]
		target.Sequence, target.Registrar, target.RegistrarRunID = target.ProxySequence, "", 0
	}
	return list
}

// ProxyVersion grows with each change that proxies have to hear of.
func (t *Table) ProxyVersion() uint64 { return t.proxyVersion }

// ProxySequence gives the sequence at which a target last changed to proxies.
func (t *Table) ProxySequence(id ids.InstanceID) ids.Sequence {
	if e, ok := t.entries[id]; ok {
		return e.ProxySequence
	}
	return 0
}

package targets

import "dunlinwell/internal/base/ids"

// ForProxies returns every target as it is pushed to proxies: without its registrar,
// and with the sequence number at which it last changed in a way that proxies see. A
// target that moves to another registrar therefore causes no push.
func (t *Table) ForProxies(now ids.Time) []Target {
	list := t.All(now)
	for i := range list {
		target := &list[i]
		target.Sequence, target.Registrar, target.RegistrarRunID = target.ProxySequence, "", 0
	}
	return list
}

// ProxyVersion returns a number that grows with each change that proxies see.
func (t *Table) ProxyVersion() uint64 { return t.proxyVersion }

// ProxySequence returns the sequence number at which a target last changed in a way
// that proxies see, or 0 if the target isn't known.
func (t *Table) ProxySequence(id ids.InstanceID) ids.Sequence {
	if e, ok := t.entries[id]; ok {
		return e.ProxySequence
	}
	return 0
}

// withProxySequence returns an update with the ProxySequence under which this copy
// keeps it, and counts the update in ProxyVersion if proxies see a change. In a copy
// that isn't incremental each update is one.
func (t *Table) withProxySequence(now ids.Time, e *entry, update Target) Target {
	known := e.Incarnation == update.Incarnation && e.Instance != ""
	if t.Incremental && known && sameToProxies(e.Target, update) && !e.extendsSlowStart(now, update) {
		update.ProxySequence = e.ProxySequence
		return update
	}
	t.proxyVersion++
	missing := update.ProxySequence == 0 || update.ProxySequence > update.Sequence
	stale := known && update.ProxySequence <= e.ProxySequence
	if !t.Incremental || missing || stale {
		update.ProxySequence = update.Sequence
	}
	return update
}

// sameToProxies reports whether two states of a target look the same to proxies. The
// registrar, sequence numbers and occupancy only matter to registries; age and slow
// start are compared by extendsSlowStart.
func sameToProxies(a, b Target) bool {
	for _, target := range []*Target{&a, &b} {
		target.Sequence, target.ProxySequence = 0, 0
		target.AgeMillis, target.SlowStartMillis, target.Occupancy = 0, 0, 0
		target.Registrar, target.RegistrarRunID = "", 0
	}
	return a == b
}

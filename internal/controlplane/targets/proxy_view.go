package targets

import "dunlinwell/internal/base/ids"

// ForProxies returns all targets in the form that is pushed to proxies: without the registrar, and
// with ProxySequence as the sequence number. A target that changes its registrar therefore causes
// no push.
func (t *Table) ForProxies(now ids.Time) []Target {
	list := t.All(now)
	for i := range list {
		target := &list[i]
		target.Sequence, target.Registrar, target.RegistrarRunID = target.ProxySequence, "", 0
	}
	return list
}

// ProxyVersion returns a number that increases with each change that is visible to proxies.
func (t *Table) ProxyVersion() uint64 { return t.proxyVersion }

// ProxySequence returns the sequence number at which a target last changed in a way that is visible
// to proxies, or 0 if the target isn't known.
func (t *Table) ProxySequence(id ids.InstanceID) ids.Sequence {
	if e, ok := t.entries[id]; ok {
		return e.ProxySequence
	}
	return 0
}

// withProxySequence returns an update with its ProxySequence set for this copy, and increments
// ProxyVersion if the update is a change that is visible to proxies. In a table that isn't
// incremental every update is such a change.
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

// sameToProxies reports whether two states of a target are the same for proxies. The registrar,
// sequence numbers and occupancy only matter to registries; slow start is compared by
// extendsSlowStart.
func sameToProxies(a, b Target) bool {
	for _, target := range []*Target{&a, &b} {
		target.Sequence, target.ProxySequence = 0, 0
		target.AgeMillis, target.SlowStartMillis, target.Occupancy = 0, 0, 0
		target.Registrar, target.RegistrarRunID = "", 0
	}
	return a == b
}

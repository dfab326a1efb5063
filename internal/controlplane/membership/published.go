package membership

// publishedList is an immutable copy of the list for other goroutines.
type publishedList struct {
	self    Member
	members []Member
}

// publish makes the list visible to other goroutines if it changed since the last call.
func (l *List) publish() {
	if l.publishedVersion == l.version && l.published.Load() != nil {
		return
	}
	l.publishedVersion = l.version
	l.published.Store(&publishedList{self: l.Self, members: l.All()})
}

// SelfMember returns this daemon's own entry as of the last Tick; the second result is false
// before the first Tick. It is safe for concurrent use.
func (l *List) SelfMember() (Member, bool) {
	if p := l.published.Load(); p != nil {
		return p.self, true
	}
	return Member{}, false
}

// Members returns all known members as of the last Tick, sorted by ID. It is safe for concurrent
// use; callers must not modify the result.
func (l *List) Members() []Member {
	if p := l.published.Load(); p != nil {
		return p.members
	}
	return nil
}

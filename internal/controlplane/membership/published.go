package membership

// publishedList is the roll as readers outside the owner may see it.
type publishedList struct {
	self    Member
	members []Member
}

// publish puts out a fresh page after a change; the owner calls it.
func (l *List) publish() {
	if l.publishedVersion == l.version && l.published.Load() != nil {
		return
	}
	l.publishedVersion = l.version
	l.published.Store(&publishedList{l.Self, l.All()})
}

// SelfMember gives this daemon's own entry; safe from any thread.
func (l *List) SelfMember() (Member, bool) {
	if p := l.published.Load(); p != nil {
		return p.self, true
	}
	return Member{}, false
}

// Members gives the whole roll; safe from any thread.
func (l *List) Members() []Member {
	if p := l.published.Load(); p != nil {
		return p.members
	}
	return nil
}

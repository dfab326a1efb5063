package membership

// page is the roll as readers outside the owner may see it.
type page struct {
	self    Member
	members []Member
}

// publish puts out a fresh page after a change; the owner calls it.
func (r *List) publish() {
	if r.shown == r.version && r.page.Load() != nil {
		return
	}
	r.shown = r.version
	r.page.Store(&page{r.Self, r.All()})
}

// Me gives this daemon's own entry; safe from any thread.
func (r *List) Me() (Member, bool) {
	if p := r.page.Load(); p != nil {
		return p.self, true
	}
	return Member{}, false
}

// Members gives the whole roll; safe from any thread.
func (r *List) Members() []Member {
	if p := r.page.Load(); p != nil {
		return p.members
	}
	return nil
}

package distribution

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// at returns the time a number of milliseconds after the start of the test.
func at(ms int) ids.Time { return ids.Time(time.Duration(ms)*time.Millisecond) + 1 }

// oneProxy returns a single proxy in its first run.
func oneProxy() []membership.Member {
	return []membership.Member{{ID: "c1", Address: "c1", RunID: 1}}
}

// fixedConfiguration returns a Content.Configuration that returns the same for all revisions.
func fixedConfiguration(raw string) func(ids.Revision) []byte {
	return func(ids.Revision) []byte { return []byte(raw) }
}

// listOf returns a Content.Targets that returns the list as of the call.
func listOf(list *[]targets.Target) func() []targets.Target {
	return func() []targets.Target { return *list }
}

// distribute calls Distribute and returns the pushes that it sent.
func distribute(d *Distributor, now ids.Time, proxies []membership.Member, content Content) []Push {
	d.Distribute(now, proxies, content)
	var pushes []Push
	for _, command := range d.out.Drain() {
		pushes = append(pushes, command.(event.Send).Message.(Push))
	}
	return pushes
}

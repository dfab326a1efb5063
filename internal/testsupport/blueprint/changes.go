package blueprint

import (
	"fmt"
	"math/rand/v2"

	"dunlinwell/internal/base/ids"
)

// ChangeGenerator generates the configuration changes that stand-in operators send, as JSON bodies
// of change requests.
type ChangeGenerator struct {
	Plan Plan
	// Random is the source of all random choices.
	Random *rand.Rand
}

const (
	// RoutePairs is the number of service and route pairs that operators put and remove.
	RoutePairs = 4
	// ReassignedRoute is the route that operators reassign between services and remove.
	ReassignedRoute = "flip"
	// RacedRoute is the route that two operators change concurrently.
	RacedRoute = "raced"
)

// changeBody returns the JSON body of a change request.
func changeBody(id, parts string) string { return fmt.Sprintf(`{"id":%q,"changes":[%s]}`, id, parts) }

// Put sets both items of a pair in one change. Both contain n, so that a read shows which change
// wrote them.
func (g ChangeGenerator) Put(id string, n, pair int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"service","name":"shelf-%[1]d","put":{"allowance":%[2]d}},{"kind":"route","name":"shelf-%[1]d","put":{"prefix":"/shelf-%[1]d","service":"shelf-%[1]d","repeatable":true,"limit_ms":%[3]d}}`, pair, n%1000, 1000+n))
}

// Remove removes both items of a pair in one change.
func (g ChangeGenerator) Remove(id string, pair int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"route","name":"shelf-%[1]d","remove":true},{"kind":"service","name":"shelf-%[1]d","remove":true}`, pair))
}

// ZoneMaximum sets the maximum load of the nth zone to a value close to its default.
func (g ChangeGenerator) ZoneMaximum(id string, n int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"cell","name":%q,"set":{"maximum":%d}}`, g.Plan.Zone(n), int(g.Plan.TargetLevel()*1.1)+1+n%50))
}

// Reassign assigns ReassignedRoute to a random service with a random time limit, or removes it.
// The service and time limit of a forwarded request show which version of the route was applied.
func (g ChangeGenerator) Reassign(id string) string {
	pool := g.Plan.Pools[g.Random.IntN(len(g.Plan.Pools))]
	if g.Random.IntN(4) == 0 {
		return changeBody(id, `{"kind":"route","name":"flip","remove":true}`)
	}
	return changeBody(id, fmt.Sprintf(`{"kind":"route","name":"flip","put":{"prefix":"/flip","service":%q,"repeatable":true,"limit_ms":%d}}`, pool.Service, []int{1500, 5000}[g.Random.IntN(2)]))
}

// Race changes RacedRoute if it is at the given version. Of two concurrent such changes, at most
// one may succeed.
func (g ChangeGenerator) Race(id string, n int, version ids.Revision) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"route","name":"raced","version":%d,"put":{"prefix":"/raced","service":%q,"repeatable":true,"limit_ms":%d}}`, version, g.Plan.Pools[0].Service, 1000+n))
}

// Invalid returns a change with a valid part and an invalid one; neither may take effect.
func (g ChangeGenerator) Invalid(id string, n int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"service","name":"broken-%[1]d","put":{}},{"kind":"route","name":"broken-%[1]d","put":{"prefix":"/broken-%[1]d","service":"nowhere","repeatable":true}}`, n))
}

// Stale returns a change whose expected version doesn't match the item's; it must be rejected.
func (g ChangeGenerator) Stale(id string, n int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"service","name":"broken-%d","version":1,"put":{}}`, n))
}

// Drain drains a zone or, if on is false, restores it.
func (g ChangeGenerator) Drain(id string, zone ids.Name, on bool) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"cell","name":%q,"set":{"emptied":%t}}`, zone, on))
}

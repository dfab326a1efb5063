package blueprint

import (
	"fmt"
	"math/rand/v2"

	"dunlinwell/internal/base/ids"
)

// ChangeGenerator draws what stand-in operators send, each change as its own words.
type ChangeGenerator struct {
	Plan   Plan
	Random *rand.Rand
}

const (
	// RoutePairs is how many pairs of a service and its route are put and removed.
	RoutePairs = 4
	// FlippedRoute is a route that operators move about, and Raced one that they race for.
	FlippedRoute, RacedRoute = "flip", "raced"
)

func changeBody(id, parts string) string { return fmt.Sprintf(`{"id":%q,"changes":[%s]}`, id, parts) }

// Put changes both items of a pair in one change; n marks them.
func (w ChangeGenerator) Put(id string, n, pair int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"service","name":"shelf-%[1]d","put":{"allowance":%[2]d}},{"kind":"route","name":"shelf-%[1]d","put":{"prefix":"/shelf-%[1]d","service":"shelf-%[1]d","repeatable":true,"limit_ms":%[3]d}}`, pair, n%1000, 1000+n))
}

// Remove removes both items of a pair in one change.
func (w ChangeGenerator) Remove(id string, pair int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"route","name":"shelf-%[1]d","remove":true},{"kind":"service","name":"shelf-%[1]d","remove":true}`, pair))
}

// TargetLevel sets one field of a zone.
func (w ChangeGenerator) TargetLevel(id string, n int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"cell","name":%q,"set":{"maximum":%d}}`, w.Plan.Zone(n), int(w.Plan.TargetLevel()*1.1)+1+n%50))
}

// Flip moves a route to another service, gives it another limit, or removes
// it. Targets see by which of its terms a request went.
func (w ChangeGenerator) Flip(id string) string {
	pool := w.Plan.Pools[w.Random.IntN(len(w.Plan.Pools))]
	if w.Random.IntN(4) == 0 {
		return changeBody(id, `{"kind":"route","name":"flip","remove":true}`)
	}
	return changeBody(id, fmt.Sprintf(`{"kind":"route","name":"flip","put":{"prefix":"/flip","service":%q,"repeatable":true,"limit_ms":%d}}`, pool.Service, []int{1500, 5000}[w.Random.IntN(2)]))
}

// Race changes a route by one version of it, as two operators do at once.
func (w ChangeGenerator) Race(id string, n int, version ids.Revision) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"route","name":"raced","version":%d,"put":{"prefix":"/raced","service":%q,"repeatable":true,"limit_ms":%d}}`, version, w.Plan.Pools[0].Service, 1000+n))
}

// Invalid has one good part; none of it may take effect.
func (w ChangeGenerator) Invalid(id string, n int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"service","name":"broken-%[1]d","put":{}},{"kind":"route","name":"broken-%[1]d","put":{"prefix":"/broken-%[1]d","service":"nowhere","repeatable":true}}`, n))
}

// Stale goes by a version that was never there.
func (w ChangeGenerator) Stale(id string, n int) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"service","name":"broken-%d","version":1,"put":{}}`, n))
}

// Drain empties a zone or refills it.
func (w ChangeGenerator) Drain(id string, zone ids.Name, on bool) string {
	return changeBody(id, fmt.Sprintf(`{"kind":"cell","name":%q,"set":{"emptied":%t}}`, zone, on))
}

package blueprint

import (
	"fmt"
	"math/rand/v2"

	"dunlinwell/internal/base/ids"
)

// Work draws what stand-in operators send, each change as its own words.
type Work struct {
	Plan Plan
	Dice *rand.Rand
}

const (
	// Pairs is how many pairs of a service and its route are put and removed.
	Pairs = 4
	// Flip is a route that operators move about, and Raced one that they race for.
	Flip, Raced = "flip", "raced"
)

func whole(id, parts string) string { return fmt.Sprintf(`{"id":%q,"changes":[%s]}`, id, parts) }

// Put changes both items of a pair in one change; n marks them.
func (w Work) Put(id string, n, pair int) string {
	return whole(id, fmt.Sprintf(`{"kind":"service","name":"shelf-%[1]d","put":{"allowance":%[2]d}},{"kind":"route","name":"shelf-%[1]d","put":{"prefix":"/shelf-%[1]d","service":"shelf-%[1]d","repeatable":true,"limit_ms":%[3]d}}`, pair, n%1000, 1000+n))
}

// Unput removes both items of a pair in one change.
func (w Work) Unput(id string, pair int) string {
	return whole(id, fmt.Sprintf(`{"kind":"route","name":"shelf-%[1]d","remove":true},{"kind":"service","name":"shelf-%[1]d","remove":true}`, pair))
}

// Level sets one field of a cell.
func (w Work) Level(id string, n int) string {
	return whole(id, fmt.Sprintf(`{"kind":"cell","name":%q,"set":{"maximum":%d}}`, w.Plan.Cell(n), int(w.Plan.Comfort()*1.1)+1+n%50))
}

// Flip moves a route to another service, gives it another limit, or removes
// it. Targets see by which of its terms a request went.
func (w Work) Flip(id string) string {
	pool := w.Plan.Pools[w.Dice.IntN(len(w.Plan.Pools))]
	if w.Dice.IntN(4) == 0 {
		return whole(id, `{"kind":"route","name":"flip","remove":true}`)
	}
	return whole(id, fmt.Sprintf(`{"kind":"route","name":"flip","put":{"prefix":"/flip","service":%q,"repeatable":true,"limit_ms":%d}}`, pool.Service, []int{1500, 5000}[w.Dice.IntN(2)]))
}

// Race changes a route by one version of it, as two operators do at once.
func (w Work) Race(id string, n int, version ids.Revision) string {
	return whole(id, fmt.Sprintf(`{"kind":"route","name":"raced","version":%d,"put":{"prefix":"/raced","service":%q,"repeatable":true,"limit_ms":%d}}`, version, w.Plan.Pools[0].Service, 1000+n))
}

// Broken has one good part; none of it may take effect.
func (w Work) Broken(id string, n int) string {
	return whole(id, fmt.Sprintf(`{"kind":"service","name":"broken-%[1]d","put":{}},{"kind":"route","name":"broken-%[1]d","put":{"prefix":"/broken-%[1]d","service":"nowhere","repeatable":true}}`, n))
}

// Stale goes by a version that was never there.
func (w Work) Stale(id string, n int) string {
	return whole(id, fmt.Sprintf(`{"kind":"service","name":"broken-%d","version":1,"put":{}}`, n))
}

// Emptied empties a cell or refills it.
func (w Work) Emptied(id string, cell ids.Name, on bool) string {
	return whole(id, fmt.Sprintf(`{"kind":"cell","name":%q,"set":{"emptied":%t}}`, cell, on))
}

package configuration_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// outcomeChecker is what operators were told, and what may never be told together.
type outcomeChecker struct {
	t *testing.T
	// confirmed holds the content that was confirmed under a number.
	confirmed map[string]string
	// refused holds what was refused: a number and a content.
	refused                           map[[2]string]bool
	confirms, refusals, indeterminate int
}

// record notes the end of one call: a content under a number.
func (l *outcomeChecker) record(number, content string, s consensus.Outcome, out []byte) {
	var r configuration.Result
	switch {
	case s != consensus.Succeeded:
		l.indeterminate++
		return
	case json.Unmarshal(out, &r) != nil || r.UnknownReason != "":
		l.t.Fatalf("%s: no result: %s", number, out)
	}
	key := [2]string{number, content}
	if !r.Accepted() {
		l.refusals++
		l.refused[key] = true
	} else {
		l.confirms++
		if other, ok := l.confirmed[number]; ok && other != content {
			l.t.Fatalf("%s was confirmed for %s and for %s", number, other, content)
		}
		l.confirmed[number] = content
	}
	if l.refused[key] && l.confirmed[number] == content {
		l.t.Fatalf("%s for %s was both confirmed and refused", number, content)
	}
}

// injectFault brings crashes, cuts and their ends about.
func (c *cluster) injectFault() {
	switch s := c.stores[c.random.IntN(3)]; c.random.IntN(4) {
	case 0, 1:
		c.crash(s, time.Duration(c.random.IntN(800))*time.Millisecond)
	case 2:
		for _, other := range c.stores {
			c.partitioned[[2]ids.Address{s.address, other.address}] = true
			if c.random.IntN(2) == 0 {
				c.partitioned[[2]ids.Address{other.address, s.address}] = true
			}
		}
	default:
		clear(c.partitioned)
	}
	c.schedule(time.Duration(c.random.IntN(700))*time.Millisecond, c.injectFault)
}

// Two operators through two registries use the same numbers for two contents, and
// send everything again, at once and much later, while proposers crash between
// their accept and their answer, messages are lost and doubled, and stores are cut
// off one way and both. No number is confirmed for two contents, no copy of what
// was confirmed is refused, and nothing that was refused is confirmed.
func TestConcurrentOperators_NeverGetContradictoryResults(t *testing.T) {
	confirms, refusals, unclear := 0, 0, 0
	for seed := range uint64(5) {
		l := runRace(t, seed)
		confirms, refusals, unclear = confirms+l.confirms, refusals+l.refusals, unclear+l.indeterminate
	}
	t.Logf("%d confirmed, %d refused, %d unclear", confirms, refusals, unclear)
	if confirms < 200 || refusals < 100 || unclear < 20 {
		t.Fatal("too little was tried")
	}
}

// runRace plays one seed of the race.
func runRace(t *testing.T, seed uint64) *outcomeChecker {
	c := newCluster(seed, 5*time.Millisecond, 30*time.Millisecond)
	c.lossRate, c.duplicateRate = 0.1, 0.1
	l := &outcomeChecker{t: t, confirmed: map[string]string{}, refused: map[[2]string]bool{}}
	c.schedule(time.Second, c.injectFault)
	var orders []func(registry int)
	for i := range 60 {
		c.schedule(time.Duration(i)*250*time.Millisecond, func() {
			for who := range 2 {
				orders = append(orders, c.mergeOrder(l, i/2, who), c.changeOrder(l, i, who))
			}
			for j, send := range orders[len(orders)-4:] {
				send(j / 2)
			}
			for range 3 {
				orders[c.random.IntN(len(orders))](c.random.IntN(2))
			}
		})
	}
	c.run(20 * time.Second)
	return l
}

// mergeOrder gives an item with a version that both operators use.
func (c *cluster) mergeOrder(l *outcomeChecker, version, who int) func(int) {
	content := fmt.Sprintf(`{"circuits":%d}`, who+1)
	arg, _ := json.Marshal(configuration.Merge{Items: []configuration.VersionedItem{{Kind: "service", Name: "shared", Version: ids.Revision(version + 1), Body: json.RawMessage(content)}}})
	number := fmt.Sprintf("service/shared version %d", version+1)
	return func(registry int) {
		c.call(registry, configuration.OpMerge, arg, func(s consensus.Outcome, out []byte) {
			// An overtaken number is acknowledged as having no effect.
			var r configuration.Result
			if json.Unmarshal(out, &r) == nil && r.Accepted() && len(r.Items) == 1 && r.Items[0].Version > ids.Revision(version+1) {
				return
			}
			l.record(number, content, s, out)
		})
	}
}

// changeOrder gives a change that needs the version before it; both operators use
// one id every third time.
func (c *cluster) changeOrder(l *outcomeChecker, n, who int) func(int) {
	id := fmt.Sprintf("order-%d-%d", n, who)
	if n%3 == 0 {
		id = fmt.Sprintf("order-%d", n)
	}
	content := fmt.Sprintf(`{"circuits":%d}`, who+1)
	arg := fmt.Appendf(nil, `{"id":%q,"changes":[{"kind":"service","name":"own%d","version":0,"put":%s}]}`, id, n, content)
	return func(registry int) {
		c.call(registry, configuration.OpChange, arg, func(s consensus.Outcome, out []byte) {
			l.record("change "+id, content, s, out)
			// Whatever the ids, one of the two made the item.
			var r configuration.Result
			if s == consensus.Succeeded && json.Unmarshal(out, &r) == nil && r.Accepted() {
				l.record(fmt.Sprintf("service/own%d", n), content, s, out)
			}
		})
	}
}

// Two registries propose through two stores at once, without rest.
func TestConcurrentProposers_ChangesFinishInTime(t *testing.T) {
	for _, oneWay := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond, 90 * time.Millisecond} {
		c := newCluster(7, oneWay, oneWay/4)
		var took []time.Duration
		unclear := 0
		for i := range 400 {
			c.schedule(time.Duration(i)*50*time.Millisecond, func() {
				began := c.now
				arg := fmt.Appendf(nil, `{"id":"c%d","changes":[{"kind":"service","name":"s%d","put":{}}]}`, i, i%20)
				c.call(i%2, configuration.OpChange, arg, func(s consensus.Outcome, _ []byte) {
					took = append(took, c.now.Sub(began))
					if s != consensus.Succeeded {
						unclear++
					}
				})
			})
		}
		c.run(30 * time.Second)
		slices.Sort(took)
		median, most := took[len(took)/2], took[len(took)-1]
		t.Logf("one way %v: median %v, 99 in 100 %v, most %v, unclear %d, prepares %d", oneWay, median, took[len(took)*99/100], most, unclear, c.prepares)
		if median > 2*time.Second || unclear > len(took)/100 {
			t.Errorf("changes took %v at the median, %d without a clear end", median, unclear)
		}
	}
}

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

// outcomeChecker records the results that operators received and fails the test if two of
// them contradict each other. An identity is a version of an item or a change ID.
type outcomeChecker struct {
	t *testing.T
	// accepted holds the accepted content by identity.
	accepted map[string]string
	// rejected holds the rejected pairs of identity and content.
	rejected map[[2]string]bool

	acceptedCount, rejectedCount, unknownCount int
}

// record checks the outcome of one call with a content under an identity.
func (o *outcomeChecker) record(identity, content string, outcome consensus.Outcome, response []byte) {
	var res configuration.Result
	switch {
	case outcome != consensus.Succeeded:
		o.unknownCount++
		return
	case json.Unmarshal(response, &res) != nil || res.UnknownReason != "":
		o.t.Fatalf("%s: no definite result in response %s", identity, response)
	}
	key := [2]string{identity, content}
	if !res.Accepted() {
		o.rejectedCount++
		o.rejected[key] = true
	} else {
		o.acceptedCount++
		if other, ok := o.accepted[identity]; ok && other != content {
			o.t.Fatalf("%s was accepted with content %s and with %s", identity, other, content)
		}
		o.accepted[identity] = content
	}
	if o.rejected[key] && o.accepted[identity] == content {
		o.t.Fatalf("%s with content %s was both accepted and rejected", identity, content)
	}
}

// injectFault crashes a store, partitions it in one or both directions, or ends all
// partitions, and schedules the next fault.
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

// Two operators use the same versions and change IDs for different contents and resend their
// requests, while stores crash or are partitioned and messages are lost or duplicated. No
// identity may be accepted with two contents, and no request may be both accepted and
// rejected.
func TestConcurrentOperators_NeverGetContradictoryResults(t *testing.T) {
	accepted, rejected, unknown := 0, 0, 0
	for seed := range uint64(5) {
		checker := runConcurrentOperators(t, seed)
		accepted += checker.acceptedCount
		rejected += checker.rejectedCount
		unknown += checker.unknownCount
	}
	t.Logf("%d accepted, %d rejected, %d unknown", accepted, rejected, unknown)
	if accepted < 200 || rejected < 100 || unknown < 20 {
		t.Fatal("too few accepted, rejected or unknown outcomes to be a meaningful test")
	}
}

// runConcurrentOperators runs the simulation for one seed and returns its checker.
func runConcurrentOperators(t *testing.T, seed uint64) *outcomeChecker {
	t.Helper()
	c := newCluster(seed, 5*time.Millisecond, 30*time.Millisecond)
	c.lossRate, c.duplicateRate = 0.1, 0.1
	checker := &outcomeChecker{t: t, accepted: map[string]string{}, rejected: map[[2]string]bool{}}
	c.schedule(time.Second, c.injectFault)
	var requests []func(registry int)
	for i := range 60 {
		c.schedule(time.Duration(i)*250*time.Millisecond, func() {
			for operator := range 2 {
				requests = append(requests, c.mergeRequest(checker, i/2, operator), c.changeRequest(checker, i, operator))
			}
			for j, send := range requests[len(requests)-4:] {
				send(j / 2)
			}
			for range 3 {
				resend := requests[c.random.IntN(len(requests))]
				resend(c.random.IntN(2))
			}
		})
	}
	c.run(20 * time.Second)
	return checker
}

// mergeRequest returns a function that merges an item under a version that both operators
// use.
func (c *cluster) mergeRequest(checker *outcomeChecker, number, operator int) func(registry int) {
	version := ids.Revision(number + 1)
	content := fmt.Sprintf(`{"circuits":%d}`, operator+1)
	arg, _ := json.Marshal(configuration.Merge{Items: []configuration.VersionedItem{
		{Kind: "service", Name: "shared", Version: version, Body: json.RawMessage(content)},
	}})
	identity := fmt.Sprintf("service/shared version %d", version)
	return func(registry int) {
		c.call(registry, configuration.OpMerge, arg, func(outcome consensus.Outcome, response []byte) {
			// A superseded version is acknowledged although it has no effect.
			var res configuration.Result
			if json.Unmarshal(response, &res) == nil && res.Accepted() && len(res.Items) == 1 && res.Items[0].Version > version {
				return
			}
			checker.record(identity, content, outcome, response)
		})
	}
}

// changeRequest returns a function that sends a change which creates an item. Every third
// time, both operators use the same ID.
func (c *cluster) changeRequest(checker *outcomeChecker, number, operator int) func(registry int) {
	id := fmt.Sprintf("order-%d-%d", number, operator)
	if number%3 == 0 {
		id = fmt.Sprintf("order-%d", number)
	}
	content := fmt.Sprintf(`{"circuits":%d}`, operator+1)
	arg := fmt.Appendf(nil, `{"id":%q,"changes":[{"kind":"service","name":"own%d","version":0,"put":%s}]}`, id, number, content)
	return func(registry int) {
		c.call(registry, configuration.OpChange, arg, func(outcome consensus.Outcome, response []byte) {
			checker.record("change "+id, content, outcome, response)
			// Only one operator can create the item, whether or not the IDs differ.
			var res configuration.Result
			if outcome == consensus.Succeeded && json.Unmarshal(response, &res) == nil && res.Accepted() {
				checker.record(fmt.Sprintf("service/own%d", number), content, outcome, response)
			}
		})
	}
}

// Changes through two competing proposers finish in time and seldom with an unknown outcome.
func TestConcurrentProposers_ChangesFinishInTime(t *testing.T) {
	for _, oneWay := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond, 90 * time.Millisecond} {
		t.Run(oneWay.String(), func(t *testing.T) {
			c := newCluster(7, oneWay, oneWay/4)
			var durations []time.Duration
			unknown := 0
			for i := range 400 {
				c.schedule(time.Duration(i)*50*time.Millisecond, func() {
					start := c.now
					arg := fmt.Appendf(nil, `{"id":"c%d","changes":[{"kind":"service","name":"s%d","put":{}}]}`, i, i%20)
					c.call(i%2, configuration.OpChange, arg, func(outcome consensus.Outcome, _ []byte) {
						durations = append(durations, c.now.Sub(start))
						if outcome != consensus.Succeeded {
							unknown++
						}
					})
				})
			}
			c.run(30 * time.Second)
			slices.Sort(durations)
			median, longest := durations[len(durations)/2], durations[len(durations)-1]
			t.Logf("one way %v: median %v, p99 %v, max %v, unknown %d, prepares %d", oneWay, median, durations[len(durations)*99/100], longest, unknown, c.prepares)
			if median > 2*time.Second || unknown > len(durations)/100 {
				t.Errorf("median duration %v, %d changes with an unknown outcome", median, unknown)
			}
		})
	}
}

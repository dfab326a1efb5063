package checker

import (
	"encoding/json"
	"fmt"
	"time"
)

// configurationInForceWithin is how soon an accepted change must be in force, at whatever
// daemon still serves.
const configurationInForceWithin = 3 * time.Second

// rule is what a change says of a route, as a target can see it.
type rule struct {
	Prefix     string `json:"prefix"`
	Service    string `json:"service"`
	Repeatable bool   `json:"repeatable"`
	Limit      int64  `json:"limit_ms"`
}

// matchesExecution tells whether a run may have gone by a change to its route.
func (w ExpectedItem) matchesExecution(r Execution) bool {
	if w.Remove || w.Put == nil {
		return false
	}
	var u rule
	if json.Unmarshal(w.Put, &u) != nil {
		return false
	}
	return u.Service == string(r.Service) && (u.Repeatable || r.IdempotencyKey != "") && (u.Limit == 0 || r.TimeLeft <= time.Duration(u.Limit)*time.Millisecond)
}

// sent is when its bytes left, as far as is known.
func (r Execution) sent() time.Time {
	if r.Sent.IsZero() {
		return r.At
	}
	return r.Sent
}

// inForce finds runs that went by an older configuration than one accepted over 3 s
// before: by a route that was moved to another service, removed, or given
// another limit. The targets saw them; whether their proxy was ready, cut
// off or anything else makes no difference. What counts is when the bytes left
// the proxy: no proxy can call them back from a frozen target's socket.
func (t *Checker) inForce() RuleResult {
	c := RuleResult{Rule: "request by a policy that another was accepted over 3 s before"}
	routes := map[string][]*Change{}
	for _, ch := range t.ledger.list {
		for it := range ch.Items {
			if it.Kind == "route" && !ch.rejected {
				routes[it.Name] = append(routes[it.Name], ch)
			}
		}
	}
	for _, r := range t.executions {
		sent := r.sent()
		list := routes[string(r.Route)]
		var base *Change
		for _, ch := range list {
			if ch.Revision != 0 && sent.Sub(ch.AnsweredAt) > configurationInForceWithin && (base == nil || ch.Revision > base.Revision) {
				base = ch
			}
		}
		if base == nil {
			continue
		}
		c.Judged++
		good := false
		for _, ch := range list {
			newer := ch == base || ch.Revision > base.Revision || ch.Revision == 0
			good = good || newer && !ch.SentAt.After(sent) && ch.Items[Item{"route", string(r.Route)}].matchesExecution(r)
		}
		if !good {
			c.add(fmt.Sprintf("%s of %s ran %s, sent by %s %s after %s was accepted", r.Instance, r.Service, r.Token, r.Proxy, sent.Sub(base.AnsweredAt).Round(time.Millisecond), base.ID))
		}
	}
	return c
}

package checker

import (
	"encoding/json"
	"fmt"
	"time"
)

// configurationInForceWithin is the required time from the acceptance of a change until every
// serving proxy applies it.
const configurationInForceWithin = 3 * time.Second

// routeRule holds the fields of a route's configuration whose effect a target can observe.
type routeRule struct {
	Prefix     string `json:"prefix"`
	Service    string `json:"service"`
	Repeatable bool   `json:"repeatable"`
	// Limit is the route's timeout in milliseconds; zero for none.
	Limit int64 `json:"limit_ms"`
}

// matchesExecution reports whether an execution conforms to the route that a change writes.
func (e ItemChange) matchesExecution(execution Execution) bool {
	if e.Remove || e.Put == nil {
		return false
	}
	var route routeRule
	if json.Unmarshal(e.Put, &route) != nil {
		return false
	}
	return route.Service == string(execution.Service) && (route.Repeatable || execution.IdempotencyKey != "") && (route.Limit == 0 || execution.TimeLeft <= time.Duration(route.Limit)*time.Millisecond)
}

// requestsByOldConfiguration finds executions that conform neither to the newest configuration of
// their route accepted more than configurationInForceWithin before, nor to a later one: the route
// was moved to another service, removed, or given another timeout. It applies to proxies that are
// not ready or partitioned as well. The reference time is when the bytes left the proxy, as it
// can't recall them from the socket of a frozen target.
func (c *Checker) requestsByOldConfiguration() RuleResult {
	result := RuleResult{Rule: "request by a configuration superseded over 3 s before"}
	changesByRoute := c.changesByRoute()
	for _, execution := range c.executions {
		sent := execution.leftProxyAt()
		changes := changesByRoute[string(execution.Route)]
		base := newestInForce(changes, sent)
		if base == nil {
			continue
		}
		result.Judged++
		allowed := false
		for _, change := range changes {
			newer := change == base || change.Revision > base.Revision || change.Revision == 0
			allowed = allowed || newer && !change.SentAt.After(sent) && change.Items[Item{"route", string(execution.Route)}].matchesExecution(execution)
		}
		if !allowed {
			result.add(fmt.Sprintf("%s of %s executed %s, sent by %s %s after %s was accepted", execution.Instance, execution.Service, execution.Token, execution.Proxy, sent.Sub(base.AnsweredAt).Round(time.Millisecond), base.ID))
		}
	}
	return result
}

// changesByRoute returns the changes of each route that were not rejected.
func (c *Checker) changesByRoute() map[string][]*Change {
	byRoute := map[string][]*Change{}
	for _, change := range c.history.changes {
		for item := range change.Items {
			if item.Kind == "route" && !change.rejected {
				byRoute[item.Name] = append(byRoute[item.Name], change)
			}
		}
	}
	return byRoute
}

// newestInForce returns the newest change that must have been in force at a time, or nil.
func newestInForce(changes []*Change, at time.Time) *Change {
	var newest *Change
	for _, change := range changes {
		if change.Revision != 0 && at.Sub(change.AnsweredAt) > configurationInForceWithin && (newest == nil || change.Revision > newest.Revision) {
			newest = change
		}
	}
	return newest
}

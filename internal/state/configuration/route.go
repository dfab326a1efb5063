package configuration

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Route maps requests by host and path prefix to a service, and sets their priority and
// retry policy.
type Route struct {
	Name ids.Name `json:"-"`
	// Host restricts the route to one host; empty for all hosts.
	Host    string   `json:"host"`
	Prefix  string   `json:"prefix"`
	Service ids.Name `json:"service"`
	// Split, if set, distributes requests among services by weight and overrides Service.
	Split []WeightedService `json:"split"`
	// Tier is the priority class, from 0 to 9; 5 by default.
	Tier int `json:"tier"`
	// Repeatable reports whether requests are idempotent: they may be retried on another
	// target even if an earlier attempt may have been executed. Other requests are
	// executed at most once.
	Repeatable bool `json:"repeatable"`
	// WithoutIdempotencyKey reports whether requests that aren't repeatable carry no
	// idempotency key. The proxy that receives an attempt then ensures on its own that
	// the attempt is executed at most once.
	WithoutIdempotencyKey bool `json:"single"`
	// TimeoutMillis is the timeout of a request in milliseconds; 5000 by default.
	TimeoutMillis int `json:"limit_ms"`
	// MaxBodyBytes is the maximum size of a request's body; 1 MiB by default.
	MaxBodyBytes int `json:"max_body"`
	// LatencyGoalMillis is the desired response time in milliseconds; 0 for none.
	LatencyGoalMillis int `json:"goal_ms"`
	// MaxAttempts is the maximum number of targets that a request is sent to; 3 by default.
	MaxAttempts int `json:"attempts"`
	// HomeRegions are the regions in which requests may be served; empty for all regions.
	HomeRegions []ids.Name `json:"homes"`
}

// Default settings of a route.
const (
	defaultTier          = 5
	defaultTimeoutMillis = 5000
	defaultMaxBodyBytes  = 1 << 20
	defaultMaxAttempts   = 3
)

// WeightedService is one of the services among which a route splits its requests.
type WeightedService struct {
	Service ids.Name `json:"service"`
	Weight  float64  `json:"weight"`
}

// Timeout returns the timeout of a request.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// LatencyGoal returns the desired response time; 0 for none.
func (r Route) LatencyGoal() time.Duration {
	return time.Duration(r.LatencyGoalMillis) * time.Millisecond
}

// Services returns the services that the route's requests may be sent to, without
// duplicates.
func (r Route) Services() []ids.Name {
	if len(r.Split) == 0 {
		return []ids.Name{r.Service}
	}
	var services []ids.Name
	seen := map[ids.Name]bool{}
	for _, weighted := range r.Split {
		if weighted.Weight > 0 && !seen[weighted.Service] {
			seen[weighted.Service] = true
			services = append(services, weighted.Service)
		}
	}
	return services
}

// SelectService selects the service for one request by weight, given a random number in
// [0, 1).
func (r Route) SelectService(random float64) ids.Name {
	sum := 0.0
	for _, weighted := range r.Split {
		sum += weighted.Weight
	}
	if sum <= 0 {
		return r.Service
	}
	selected := r.Service
	for _, weighted := range r.Split {
		if weighted.Weight <= 0 {
			continue
		}
		selected = weighted.Service
		if random -= weighted.Weight / sum; random < 0 {
			return selected
		}
	}
	// Because of rounding the fractions may add up to less than 1: the last service with a
	// weight takes the remainder.
	return selected
}

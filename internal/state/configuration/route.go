package configuration

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Route maps requests by host and path prefix to a service, and says how urgent they
// are and whether they may be repeated.
type Route struct {
	Name ids.Name `json:"-"`
	// Host, if set, is the only host that the route is for.
	Host    string   `json:"host"`
	Prefix  string   `json:"prefix"`
	Service ids.Name `json:"service"`
	// Split, if set, distributes the requests among services by weight, in place of
	// Service.
	Split []WeightedService `json:"split"`
	// Tier is the priority class, from 0 to 9; 5 by default.
	Tier int `json:"tier"`
	// Repeatable requests may be sent to a second target after an attempt that may
	// have run. Others run at most once.
	Repeatable bool `json:"repeatable"`
	// WithoutIdempotencyKey: requests that aren't repeatable carry no idempotency key.
	// Each attempt reaches one proxy, which alone ensures that it runs at most once.
	WithoutIdempotencyKey bool `json:"single"`
	// TimeoutMillis is the time limit of a request in milliseconds; 5000 by default.
	TimeoutMillis int `json:"limit_ms"`
	// MaxBodyBytes bounds a request's body; 1 MiB by default.
	MaxBodyBytes int `json:"max_body"`
	// LatencyGoalMillis is the time in milliseconds within which an answer is worth
	// most; 0 for none.
	LatencyGoalMillis int `json:"goal_ms"`
	// MaxAttempts is the most targets that one request may be sent to; 3 by default.
	MaxAttempts int `json:"attempts"`
	// HomeRegions are the regions in which requests may be served; empty for all.
	HomeRegions []ids.Name `json:"homes"`
}

// Route settings that hold where the configuration names none.
const (
	defaultTier          = 5
	defaultTimeoutMillis = 5000
	defaultMaxBodyBytes  = 1 << 20
	defaultMaxAttempts   = 3
)

// WeightedService is one service of a route that splits its requests.
type WeightedService struct {
	Service ids.Name `json:"service"`
	Weight  float64  `json:"weight"`
}

// Timeout is the route's time limit for a request.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// LatencyGoal is the time within which an answer is worth most; 0 for none.
func (r Route) LatencyGoal() time.Duration {
	return time.Duration(r.LatencyGoalMillis) * time.Millisecond
}

// Services returns each service that the route's requests may go to, once.
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

// SelectService returns the service for one request by weight. The random number is
// at least 0 and below 1.
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
	// Sums of fractions round: the last service of any weight takes the remainder.
	return selected
}

package configuration

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Route is how a request finds a service, how urgent it is, and whether it
// may be repeated.
type Route struct {
	Name ids.Name `json:"-"`
	// Host, if set, is the only host that the route is for.
	Host    string   `json:"host"`
	Prefix  string   `json:"prefix"`
	Service ids.Name `json:"service"`
	// Split, if set, shares the requests out among services by weight.
	Split      []WeightedService `json:"split"`
	Tier       int               `json:"tier"`
	Repeatable bool              `json:"repeatable"`
	// Single: a request that may not be repeated carries no mark; each attempt
	// reaches one proxy, which alone sees to it that it runs at most once.
	WithoutIdempotencyKey bool `json:"single"`
	TimeoutMillis         int  `json:"limit_ms"`
	MaxBodyBytes          int  `json:"max_body"`
	// LatencyGoalMillis is the time within which an answer is worth most, in ms; 0 for none.
	LatencyGoalMillis int `json:"goal_ms"`
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int `json:"attempts"`
	// HomeRegions are the regions in which the route's requests may be served; none
	// for all.
	HomeRegions []ids.Name `json:"homes"`
}

// WeightedService is a service's part of a split route.
type WeightedService struct {
	Service ids.Name `json:"service"`
	Weight  float64  `json:"weight"`
}

// Timeout is the route's time limit.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// LatencyGoal is the time within which an answer is worth most; 0 for none.
func (r Route) LatencyGoal() time.Duration {
	return time.Duration(r.LatencyGoalMillis) * time.Millisecond
}

// Services gives each service that the route's requests may go to, once.
func (r Route) Services() []ids.Name {
	if len(r.Split) == 0 {
		return []ids.Name{r.Service}
	}
	var out []ids.Name
	seen := map[ids.Name]bool{}
	for _, s := range r.Split {
		if s.Weight > 0 && !seen[s.Service] {
			seen[s.Service] = true
			out = append(out, s.Service)
		}
	}
	return out
}

// SelectService gives the service for one request, by a draw from 0 up to 1.
func (r Route) SelectService(draw float64) ids.Name {
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Weight
	}
	if sum <= 0 {
		return r.Service
	}
	last := r.Service
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if draw -= s.Weight / sum; draw < 0 {
			return last
		}
	}
	return last
}

// Limits bound what a client may send, and how long it may take or idle.
type Limits struct {
	MaxHeaderBytes      int `json:"max_header"`
	MaxBodyBytes        int `json:"max_body"`
	HeaderTimeoutMillis int `json:"header_ms"`
	IdleTimeoutMillis   int `json:"idle_ms"`
}

// DefaultLimits are those in force where configuration names none.
var DefaultLimits = Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 30, HeaderTimeoutMillis: 5000, IdleTimeoutMillis: 60000}

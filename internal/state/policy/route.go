package policy

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
	Split      []Share `json:"split"`
	Tier       int     `json:"tier"`
	Repeatable bool    `json:"repeatable"`
	// Single: a request that may not be repeated carries no mark; each attempt
	// reaches one proxy, which alone sees to it that it runs at most once.
	Single  bool `json:"single"`
	Limit   int  `json:"limit_ms"`
	MaxBody int  `json:"max_body"`
	// Goal is the time within which an answer is worth most, in ms; 0 for none.
	Goal int `json:"goal_ms"`
	// Attempts is the most targets that one request may be sent to.
	Attempts int `json:"attempts"`
	// Homes are the regions in which the route's requests may be served; none
	// for all.
	Homes []ids.Name `json:"homes"`
}

// Share is a service's part of a split route.
type Share struct {
	Service ids.Name `json:"service"`
	Weight  float64  `json:"weight"`
}

// LimitTime is the route's time limit.
func (r Route) LimitTime() time.Duration { return time.Duration(r.Limit) * time.Millisecond }

// GoalTime is the time within which an answer is worth most; 0 for none.
func (r Route) GoalTime() time.Duration { return time.Duration(r.Goal) * time.Millisecond }

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

// Draw gives the service for one request, by a draw from 0 up to 1.
func (r Route) Draw(draw float64) ids.Name {
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

// Limits bound what a consumer may send, and how long it may take or idle.
type Limits struct {
	MaxHeader int `json:"max_header"`
	MaxBody   int `json:"max_body"`
	Header    int `json:"header_ms"`
	Idle      int `json:"idle_ms"`
}

// NoLimits are those in force where policy names none.
var NoLimits = Limits{MaxHeader: 64 << 10, MaxBody: 1 << 30, Header: 5000, Idle: 60000}

package testbed

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"dunlinwell/internal/base/ids"
)

// spillMove is a move of traffic between zones in the status response.
type spillMove struct {
	From     string  `json:"from"`
	To       string  `json:"to"`
	Route    string  `json:"route"`
	Fraction float64 `json:"fraction"`
}

// statusResponse is the part of the response to GET /v1/status that the testbed uses.
type statusResponse struct {
	Moves []spillMove `json:"moves"`
}

// describeMoves returns a one-line summary of the current moves, from the first registry
// that responds, ordered by the routes' ranks.
func (tb *Testbed) describeMoves() string {
	for _, registry := range tb.registryAddresses() {
		moves, err := readMoves(registry)
		if err != nil {
			continue
		}
		if len(moves) == 0 {
			return "no moves"
		}
		ranks := tb.routeRanks()
		slices.SortFunc(moves, func(a, b spillMove) int {
			return cmp.Or(cmp.Compare(ranks[ids.Name(a.Route)], ranks[ids.Name(b.Route)]), cmp.Compare(a.To, b.To))
		})
		var parts []string
		for _, m := range moves {
			parts = append(parts, fmt.Sprintf("%s>%s %s(%d) %.2f", shortZone(m.From), shortZone(m.To), m.Route, ranks[ids.Name(m.Route)], m.Fraction))
		}
		return strings.Join(parts, " ")
	}
	return "no registry responds"
}

func readMoves(registry string) ([]spillMove, error) {
	res, err := clientFrom(operatorAddress(), watchTimeout).Get("http://" + registry + "/v1/status")
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var status statusResponse
	err = json.NewDecoder(res.Body).Decode(&status)
	return status.Moves, err
}

// routeRanks returns the rank of each of the plan's routes: by the route's tier, then by
// the tier of its service.
func (tb *Testbed) routeRanks() map[ids.Name]int {
	ranks := map[ids.Name]int{}
	for _, route := range tb.Routes {
		ranks[route.Name] = route.Tier * 10
		for _, pool := range tb.Pools {
			if pool.Service == route.Service {
				ranks[route.Name] += pool.Tier
			}
		}
	}
	return ranks
}

package configuration

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/ids"
)

// checkReferences checks rules that span items: the services of routes must exist, and no
// two routes may have the same host and prefix. The services of routes that the change
// doesn't contain existed before it, so they are checked only if it removes a service.
func (d *Document) checkReferences(c Change) []Violation {
	removesService, changedRoutes := false, map[ids.Name]bool{}
	for _, item := range c.Items {
		removesService = removesService || item.Kind == kindService && item.Remove
		if item.Kind == kindRoute {
			changedRoutes[item.Name] = true
		}
	}
	var violations []Violation
	routesByLocation := map[string]ids.Name{}
	for _, name := range sortedNames(d.Routes) {
		route := d.Routes[name]
		if removesService || changedRoutes[name] {
			violations = append(violations, d.unknownServices(name, route.Body)...)
		}
		// Callers of Merge are responsible for the uniqueness of their routes. Of two
		// with the same host and prefix, the first by name applies.
		if route.isMerged() {
			continue
		}
		doc := gjson.ParseBytes(route.Body)
		location := doc.Get("host").Str + strings.TrimRight(doc.Get("prefix").Str, "/")
		if other, exists := routesByLocation[location]; exists {
			violations = append(violations, Violation{itemKey(kindRoute, name), "prefix", fmt.Sprintf("is that of route %q too", other)})
		}
		routesByLocation[location] = name
	}
	return violations
}

// checkMergedReferences checks that the services of all routes in a Merge exist, including
// routes whose version is superseded. Other routes are checked only if the Merge removed a
// service.
func (d *Document) checkMergedReferences(m Merge, removedService bool) []Violation {
	var violations []Violation
	for _, item := range m.Items {
		if item.Kind == kindRoute && !item.Removed {
			violations = append(violations, d.unknownServices(item.Name, item.Body)...)
		}
	}
	if !removedService {
		return violations
	}
	for _, name := range sortedNames(d.Routes) {
		for _, violation := range d.unknownServices(name, d.Routes[name].Body) {
			if !slices.Contains(violations, violation) {
				violations = append(violations, violation)
			}
		}
	}
	return violations
}

// unknownServices returns a violation for each service of a route that doesn't exist.
func (d *Document) unknownServices(name ids.Name, body []byte) []Violation {
	key := itemKey(kindRoute, name)
	var route Route
	if err := json.Unmarshal(body, &route); err != nil {
		return []Violation{{key, "", err.Error()}}
	}
	services := []ids.Name{route.Service}
	if len(route.Split) > 0 {
		services = services[:0]
		for _, weighted := range route.Split {
			services = append(services, weighted.Service)
		}
	}
	var violations []Violation
	for _, service := range services {
		if _, ok := d.Services[service]; !ok {
			violations = append(violations, Violation{key, "service", fmt.Sprintf("there is no service %q", service)})
		}
	}
	return violations
}

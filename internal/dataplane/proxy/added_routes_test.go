package proxy

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

// dispatchingFixture is a Control with the configuration and the dispatchers that it updates.
type dispatchingFixture struct {
	*controlFixture
	view        *configuration.View
	dispatchers map[ids.Name]*dispatch.Dispatcher
	lastRequest ids.RequestID
}

func newDispatchingFixture(control *controlFixture) *dispatchingFixture {
	return &dispatchingFixture{controlFixture: control, dispatchers: map[ids.Name]*dispatch.Dispatcher{}}
}

// step steps Control and executes its commands to the router and the dispatchers.
func (f *dispatchingFixture) step(ev event.Event) {
	for _, command := range f.Step(f.now, ev) {
		switch c := command.(type) {
		case UpdateRoutes:
			f.view = c.View
		case DispatchEvent:
			f.dispatcher(c.Service).Step(f.now, c.Event)
		}
	}
}

func (f *dispatchingFixture) dispatcher(service ids.Name) *dispatch.Dispatcher {
	if f.dispatchers[service] == nil {
		f.dispatchers[service] = dispatch.New(dispatch.Options{Random: rand.New(rand.NewPCG(1, 1))})
	}
	return f.dispatchers[service]
}

// receive delivers a registry's push of a configuration and targets.
func (f *dispatchingFixture) receive(encoded []byte, revision ids.Revision, list ...targets.Target) {
	f.pushes++
	f.step(event.Received{From: "r", Message: distribution.Push{
		Number: f.pushes, Revision: revision, Configuration: encoded, Targets: list, EchoedTime: f.now, ProxyRunID: f.Self.RunID,
	}})
}

// send sends a request to a route and returns the reason of its response, or else the type of
// the dispatcher's first command.
func (f *dispatchingFixture) send(route ids.Name) string {
	rule, ok := f.view.Routes[route]
	if !ok {
		return "no route"
	}
	f.lastRequest++
	commands := f.dispatcher(rule.Service).Step(f.now, dispatch.RequestArrived{Job: dispatch.Job{
		ID: f.lastRequest, Route: rule.Name, Service: rule.Service, Repeatable: true, Attempt: 1,
		Deadline: f.now.Add(time.Second), RouteRules: RouteRules(rule),
	}})
	for _, command := range commands {
		if r, ok := command.(dispatch.Response); ok {
			return r.Reason
		}
	}
	return fmt.Sprintf("%T", commands[0])
}

// configurationWithRoutes returns the configuration of encodedConfiguration with additional
// routes. Each has its name as the path prefix and the first letter of its name as the service.
func configurationWithRoutes(t *testing.T, services int, routes ...string) ([]byte, ids.Revision) {
	t.Helper()
	document, err := configuration.Decode(encodedConfiguration(t, services))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range routes {
		body, err := json.Marshal(map[string]any{"prefix": "/" + name + "/", "service": name[:1], "repeatable": true})
		if err != nil {
			t.Fatal(err)
		}
		route := configuration.VersionedItem{Kind: "route", Name: ids.Name(name), Version: 1, Body: body}
		next, result := document.Merge(configuration.Merge{Items: []configuration.VersionedItem{route}})
		if !result.Accepted() {
			t.Fatal(result.Violations)
		}
		document = next
	}
	return document.Encode(false), document.Revision
}

// Guards against requests to an added route being rejected until the next refresh, which is
// delayed in a large cluster whose targets change continuously.
func TestRefresh_AddedRouteIsServedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newDispatchingFixture(newLargeClusterFixture(t))
	f.now = f.now.Add(maxRefreshInterval)
	// This refresh is due, and sends the targets to the dispatcher.
	f.receive(nil, 1, changedTarget(0))
	for i := range 8 {
		f.now = f.now.Add(10 * time.Millisecond)
		var routes []string
		for n := range i + 1 {
			routes = append(routes, fmt.Sprint("a", n))
		}
		f.receive(configurationWithRoutes(t, 1, routes...))
		is.Equal(f.send(ids.Name(routes[i])), "dispatch.Forward")
		is.Equal(f.send(ids.Name(routes[0])), "dispatch.Forward") // existing routes too
	}
}

// changedTarget returns a newer state of a target of newLargeClusterFixture.
func changedTarget(i int) targets.Target {
	target := largeClusterTarget(i)
	target.Sequence, target.Occupancy = 2, 1
	return target
}

// A service that is added with its route needs targets and slots, so its refresh isn't delayed.
func TestRefresh_AddedServiceIsServedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newDispatchingFixture(newLargeClusterFixture(t))
	var others []targets.Target
	for i := range largeClusterProxies { // enough for this proxy to have slots at some of them
		other := largeClusterTarget(1000 + i)
		other.Service = "b"
		others = append(others, other)
	}
	f.now = f.now.Add(maxRefreshInterval)
	f.receive(nil, 1, others...)
	f.now = f.now.Add(10 * time.Millisecond)
	f.receive(configurationWithRoutes(t, 2, "b0"))
	is.Equal(f.send("b0"), "dispatch.Forward")
}

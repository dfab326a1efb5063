// Package premises puts the machines of registries and stores into their
// processes, and holds what every daemon's process needs.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thejerf/suture/v4"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/transport/process"
)

// NewMember describes this process for the roll. Its incarnation begins at the
// wall clock, and is raised by refuting where that clock went back.
func NewMember(p settings.Common, role membership.Role) membership.Member {
	return membership.Member{
		ID: ids.DaemonID(p.Name), Role: role, Address: ids.Address(p.Address),
		HTTP: ids.Address(p.HTTPAddress), Zone: ids.Name(p.Zone), RunID: ids.RunID(rand.Uint64()>>24 | 1),
		Incarnation: ids.Incarnation(time.Now().UnixMilli()),
	}
}

// NewSupervisor makes a suture supervisor that logs in our own way.
func NewSupervisor(name string, l *process.Log) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		l.Event(event.LevelWarn, "supervisor", "what", e.String())
	}})
}

type task struct {
	name string
	run  func(context.Context) error
}

// NewTask makes a service out of a function.
func NewTask(name string, run func(context.Context) error) suture.Service { return &task{name, run} }

func (t *task) String() string { return t.name }

func (t *task) Serve(ctx context.Context) error { return t.run(ctx) }

// HandleHealth adds the two pages that the platform probes.
func HandleHealth(m *http.ServeMux, ready func() (bool, any)) {
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		api.WriteResponse(w, registry.Response{Status: 200, Body: map[string]bool{"alive": true}})
	})
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ok, body := ready()
		status := 200
		if !ok {
			status = 503
		}
		api.WriteResponse(w, registry.Response{Status: status, Body: body})
	})
}

// openListeners opens both ports of a core daemon before anything of it runs.
func openListeners(transport *process.Transport, http string) (peerListener, httpListener net.Listener, err error) {
	if peerListener, err = transport.Listen(); err != nil {
		return nil, nil, err
	}
	httpListener, err = api.Listen(http)
	return peerListener, httpListener, err
}

// handleMemberHealth is the health of a daemon that goes by its own entry in the roll.
func handleMemberHealth(m *http.ServeMux, me func() (membership.Member, bool), stopping *atomic.Bool) {
	HandleHealth(m, func() (bool, any) {
		self, _ := me()
		return self.Ready && !stopping.Load(), map[string]any{"ready": self.Ready, "stopping": stopping.Load()}
	})
}

// Registries names the live registries's HTTP addresses, those of a zone first.
func RegistryAddresses(members []membership.Member, zone ids.Name) []ids.Address {
	var near, far []ids.Address
	for _, m := range members {
		switch {
		case m.Role != membership.Registry || m.Gone:
		case m.Zone == zone:
			near = append(near, m.HTTP)
		default:
			far = append(far, m.HTTP)
		}
	}
	return append(near, far...)
}

// Until gives a context that ends with the platform's polite signal.
func SignalContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}

// End ends a program as its run did.
func Exit(name string, err error) {
	var wrong *StartError
	switch {
	case err == nil || errors.Is(err, context.Canceled):
		os.Exit(0)
	case errors.As(err, &wrong):
		fmt.Fprintln(os.Stderr, name+": "+err.Error())
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, name+": "+err.Error())
		os.Exit(1)
	}
}

// Unfit is a param that the machine itself rejects, such as a folder that
// another process holds.
type StartError struct{ error }

// Unwrap gives the cause.
func (r *StartError) Unwrap() error { return r.error }

package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/transport/process"
)

const (
	// httpStopGrace is the grace period for HTTP calls in flight once a daemon has stopped
	// serving.
	httpStopGrace = 300 * time.Millisecond
	// servicesStopGrace is how long a daemon waits for its services to stop before the
	// process ends.
	servicesStopGrace = 200 * time.Millisecond
)

// NewSupervisor returns a supervisor that restarts failed services and logs their failures.
func NewSupervisor(name string, log *process.Log) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		log.Event(event.LevelWarn, logSupervisor, "detail", e.String())
	}})
}

type task struct {
	name string
	run  func(context.Context) error
}

// NewTask returns a service that runs a function. The log refers to the service by name.
func NewTask(name string, run func(context.Context) error) suture.Service { return &task{name, run} }

func (t *task) String() string { return t.name }

func (t *task) Serve(ctx context.Context) error { return t.run(ctx) }

// openListeners opens the ports for peers and for HTTP.
func openListeners(transport *process.Transport, httpAddress string) (peers, http net.Listener, err error) {
	if peers, err = transport.Listen(); err != nil {
		return nil, nil, err
	}
	http, err = api.Listen(httpAddress)
	return peers, http, err
}

// serveUntilStopped runs a daemon's services while serveHTTP runs, and stops them
// afterwards. When the context is done, it sets stopping and returns no error.
func serveUntilStopped(ctx context.Context, role string, log *process.Log, stopping *atomic.Bool, serveHTTP func() error, services ...suture.Service) error {
	supervisor := NewSupervisor(role, log)
	for _, service := range services {
		supervisor.Add(service)
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	ended := supervisor.ServeBackground(running)
	stop := context.AfterFunc(ctx, func() {
		stopping.Store(true)
		log.Event(event.LevelInfo, LogStopping)
	})
	defer stop()
	log.Event(event.LevelInfo, LogStarted, "role", role)
	err := serveHTTP()
	end()
	select {
	case <-ended: //nolint:errcheck // the error is that of the canceled context
	case <-time.After(servicesStopGrace):
	}
	log.Event(event.LevelInfo, LogStopped)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

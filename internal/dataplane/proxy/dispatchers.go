package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/process"
)

// serviceDispatcher is the dispatcher of one service and its pending requests.
type serviceDispatcher struct {
	// mu is held while the dispatcher steps, but not while its commands are executed.
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	requests   map[ids.RequestID]*pendingRequest
	// tickPending is set while an early tick is scheduled for queued requests.
	tickPending bool
}

// pendingRequest is a request that a dispatcher has received and not yet responded to.
type pendingRequest struct {
	*ClientRequest
	response chan dispatch.Response
	attempts attemptContexts
	// forwardTime is the total duration of the attempts at targets. It is read only after the
	// response was received.
	forwardTime time.Duration
}

// queuedTickDelay is the delay of the early tick of a dispatcher with queued requests, which
// then sends them to more distant targets or rejects them. It is shorter than tickInterval,
// which would add to the latency of every queued request.
const queuedTickDelay = 15 * time.Millisecond

// Dispatch passes a request to its service's dispatcher and returns the response and the time
// spent forwarding. If the context is canceled, Dispatch notifies the dispatcher of the
// client's disconnect; the dispatcher decides what happens to the request, and Dispatch still
// waits for its response.
func (d *Daemon) Dispatch(client context.Context, request *ClientRequest) (dispatch.Response, time.Duration) {
	pending := &pendingRequest{ClientRequest: request, response: make(chan dispatch.Response, 1), attempts: newAttemptContexts()}
	defer pending.attempts.cancel()
	s := d.dispatcherOf(request.Job.Service)
	s.mu.Lock()
	s.requests[request.Job.ID] = pending
	s.mu.Unlock()
	d.stepDispatcher(request.Job.Service, dispatch.RequestArrived{Job: request.Job})
	// This follows RequestArrived because the dispatcher ignores events of unknown requests.
	stop := context.AfterFunc(client, func() {
		d.stepDispatcher(request.Job.Service, dispatch.ClientDisconnected{ID: request.Job.ID})
	})
	defer stop()
	return <-pending.response, pending.forwardTime
}

// dispatcherOf returns the dispatcher of a service, and creates it if there is none.
func (d *Daemon) dispatcherOf(service ids.Name) *serviceDispatcher {
	d.mu.RLock()
	s := d.dispatchers[service]
	d.mu.RUnlock()
	if s != nil {
		return s
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s = d.dispatchers[service]; s == nil {
		s = d.newServiceDispatcher()
		d.dispatchers[service] = s
	}
	return s
}

func (d *Daemon) newServiceDispatcher() *serviceDispatcher {
	return &serviceDispatcher{
		dispatcher: dispatch.New(dispatch.Options{
			Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			QueueLimit: d.Options.MaxQueueLength,
			Self:       idempotency.Owner{Daemon: d.self.ID, RunID: d.self.RunID},
		}),
		requests: map[ids.RequestID]*pendingRequest{},
	}
}

// serviceNames returns the services that have a dispatcher.
func (d *Daemon) serviceNames() []ids.Name {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var names []ids.Name
	for name := range d.dispatchers {
		names = append(names, name)
	}
	return names
}

// stepDispatcher passes an event to a dispatcher and executes the resulting commands without
// holding its lock.
func (d *Daemon) stepDispatcher(service ids.Name, ev event.Event) {
	s := d.dispatcherOf(service)
	commands, requests, needsTick := s.step(ev)
	if needsTick {
		time.AfterFunc(queuedTickDelay, func() {
			s.mu.Lock()
			s.tickPending = false
			s.mu.Unlock()
			d.stepDispatcher(service, event.Tick{})
		})
	}
	for i, command := range commands {
		d.executeDispatch(service, command, requests[i])
	}
}

// step passes an event to the dispatcher. It returns the resulting commands, the request of
// each, and whether the caller must schedule an early tick.
func (s *serviceDispatcher) step(ev event.Event) ([]event.Command, []*pendingRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	commands := s.dispatcher.Step(process.Now(), ev)
	requests := make([]*pendingRequest, len(commands))
	for i, command := range commands {
		switch c := command.(type) {
		case dispatch.Forward:
			requests[i] = s.requests[c.ID]
		case dispatch.CancelForward:
			requests[i] = s.requests[c.ID]
		case dispatch.Response:
			requests[i] = s.requests[c.ID]
			delete(s.requests, c.ID)
		}
	}
	needsTick := s.dispatcher.QueueLength() > 0 && !s.tickPending
	s.tickPending = s.tickPending || needsTick
	return commands, requests, needsTick
}

// executeDispatch executes a command of a dispatcher.
func (d *Daemon) executeDispatch(service ids.Name, command event.Command, request *pendingRequest) {
	switch c := command.(type) {
	case dispatch.IdempotencyCall:
		// The event loop's goroutine also steps dispatchers, so it must not block on its own queue.
		go d.eventLoop.Put(IdempotencyRequest{service, c})
	case dispatch.Forward:
		go func() {
			start := time.Now()
			finished := d.forward(request.attempts, request.ClientRequest, c)
			request.forwardTime += time.Since(start)
			d.stepDispatcher(service, finished)
		}()
	case dispatch.CancelForward:
		if c.EvenIfSent {
			request.attempts.cancel()
		} else {
			request.attempts.cancelUnsent()
		}
	case dispatch.Response:
		request.response <- c
	}
}

// counters returns the dispatcher's counters, the number of its requests, and how many of
// these are queued.
func (s *serviceDispatcher) counters() (counters dispatch.Counters, jobs, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Counters, s.dispatcher.JobCount(), s.dispatcher.QueueLength()
}

// takeFailureReasons returns the number of failed requests by reason since the last call.
func (s *serviceDispatcher) takeFailureReasons() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.TakeFailureReasons()
}

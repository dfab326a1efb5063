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

// serviceDispatcher is the dispatcher of one service and the requests that it has.
type serviceDispatcher struct {
	// mu is held while the dispatcher steps, and never while a command is carried out.
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	requests   map[ids.RequestID]*pendingRequest
	// tickPending: an early tick is scheduled, for requests that wait in the queue.
	tickPending bool
}

// pendingRequest is a request between its arrival at the dispatcher and its response.
type pendingRequest struct {
	*ClientRequest
	response chan dispatch.Response
	attempts attemptContexts
	// forwardTime is the time that all attempts at targets took. It is read only after
	// the response was received.
	forwardTime time.Duration
}

// queuedTickDelay is how soon a dispatcher with queued requests gets a tick: some of them
// may be sent farther away by then, or have waited too long. It is shorter than
// tickInterval because that would add to the latency of every queued request.
const queuedTickDelay = 15 * time.Millisecond

// Dispatch gives a request to its service's dispatcher and returns the response, and the
// time that forwarding took. The context ends when the client has gone; the dispatcher is
// told so, and decides what becomes of the request. There is a response all the same.
func (d *Daemon) Dispatch(client context.Context, request *ClientRequest) (dispatch.Response, time.Duration) {
	pending := &pendingRequest{ClientRequest: request, response: make(chan dispatch.Response, 1), attempts: newAttemptContexts()}
	defer pending.attempts.cancel()
	s := d.dispatcherOf(request.Job.Service)
	s.mu.Lock()
	s.requests[request.Job.ID] = pending
	s.mu.Unlock()
	d.stepDispatcher(request.Job.Service, dispatch.RequestArrived{Job: request.Job})
	// Only now, as the dispatcher ignores events of requests that it doesn't have.
	stop := context.AfterFunc(client, func() {
		d.stepDispatcher(request.Job.Service, dispatch.ClientDisconnected{ID: request.Job.ID})
	})
	defer stop()
	return <-pending.response, pending.forwardTime
}

// dispatcherOf returns the dispatcher of a service, a new one if need be.
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

// serviceNames lists the services that have a dispatcher.
func (d *Daemon) serviceNames() []ids.Name {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var names []ids.Name
	for name := range d.dispatchers {
		names = append(names, name)
	}
	return names
}

// stepDispatcher gives an event to a dispatcher and carries out its commands, unlocked.
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

// step returns the dispatcher's commands, the request that each is about, and whether an
// early tick has to be scheduled.
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

// executeDispatch carries out a command of a dispatcher.
func (d *Daemon) executeDispatch(service ids.Name, command event.Command, request *pendingRequest) {
	switch c := command.(type) {
	case dispatch.IdempotencyCall:
		// The owner itself steps dispatchers, so it must not wait on its own queue.
		go d.owner.Put(IdempotencyRequest{service, c})
	case dispatch.Forward:
		go func() {
			begun := time.Now()
			finished := d.forward(request.attempts, request.ClientRequest, c)
			request.forwardTime += time.Since(begun)
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

// counters returns the dispatcher's counters, how many requests it has, and how many of
// these wait in its queue.
func (s *serviceDispatcher) counters() (counters dispatch.Counters, jobs, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Counters, s.dispatcher.JobCount(), s.dispatcher.QueueLength()
}

// takeFailureReasons returns why requests got no response since the last call.
func (s *serviceDispatcher) takeFailureReasons() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.TakeFailureReasons()
}

package proxy

import "runtime"

// processingTurns bounds how many client requests are worked on at the same moment, from the
// arrival of their bytes until they wait for a target or are answered. The runtime runs what is
// ready in the order in which it became so: if hundreds of requests are ready at once on a small
// machine, as after an outage, a message of a registry waits behind all of them, and a
// configuration that was confirmed is seconds late. Requests that wait for their turn are not
// ready, so the control machine is never behind more than these few.
type processingTurns chan struct{}

// turnsPerProcessor is how many requests are worked on for each processor that the process
// may use. The work in a turn is computation alone; the second one makes up for the moment in
// which the first hands on.
const turnsPerProcessor = 2

func newProcessingTurns() processingTurns {
	return make(processingTurns, turnsPerProcessor*runtime.GOMAXPROCS(0))
}

// take waits for a turn, in the order of the calls.
func (t processingTurns) take() { t <- struct{}{} }

// pass gives a turn back.
func (t processingTurns) pass() { <-t }

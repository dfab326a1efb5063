package dispatch

import "dunlinwell/internal/base/ids"

// onClientDisconnected counts a request whose client has gone.
func (d *Dispatcher) onClientDisconnected(id ids.RequestID) {
	j := d.jobs[id]
	if j == nil || j.clientDisconnected {
		return
	}
	j.clientDisconnected = true
	d.Counters.ClientDisconnects++
}

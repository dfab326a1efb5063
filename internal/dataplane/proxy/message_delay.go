package proxy

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/process"
)

// delayProbeInterval is the time between two probes of the message delay. Each costs a few
// system calls, so it is no shorter than the figure has to be.
const delayProbeInterval = 250 * time.Millisecond

// messageDelayLogThreshold is from which delay on it is logged: a push a second, as there is in
// calm times, is late by it.
const messageDelayLogThreshold = 300 * time.Millisecond

// maxMessageDelay is the longest delay at which everything that has arrived counts as read. A
// message of a registry may wait a few times as long as a probe, as it is read in parts; with
// nothing to wait for, a probe takes a few milliseconds.
const maxMessageDelay = 200 * time.Millisecond

// delayProbe measures how long what has arrived at this process waits until the control machine
// has it. It goes the way of a message of a registry: bytes that the poller reports, a goroutine
// that reads them, the queue of the control machine. On a small machine with many clients, as
// after an outage, that can take seconds, and a change that was confirmed long ago may lie
// unread in a socket.
type delayProbe struct {
	// sentAt is when the probe under way was sent, as ids.Time; 0 if none is.
	sentAt atomic.Int64
	// lastDelay is how long the last one took, as time.Duration.
	lastDelay atomic.Int64
}

// probeReturned is the event with which a probe reaches the control machine.
type probeReturned struct{}

// delay returns how long messages wait at present, as far as that is known.
func (p *delayProbe) delay(now ids.Time) time.Duration {
	last := time.Duration(p.lastDelay.Load())
	if sentAt := p.sentAt.Load(); sentAt != 0 {
		last = max(last, now.Sub(ids.Time(sentAt)))
	}
	return last
}

// returned notes that the probe under way has reached the control machine.
func (p *delayProbe) returned(now ids.Time) {
	if sentAt := p.sentAt.Swap(0); sentAt != 0 {
		p.lastDelay.Store(int64(now.Sub(ids.Time(sentAt))))
	}
}

// run sends probes through a pipe until the context ends. put hands each one that was read to
// the control machine's queue.
func (p *delayProbe) run(ctx context.Context, put func()) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return errs.Wrap(err, "open pipe of delay probes", "")
	}
	// Closing it ends the reader; nothing is lost by that.
	defer func() { _ = writer.Close() }()
	go p.read(reader, put)
	// One of an earlier run never returns.
	p.sentAt.Store(0)
	ticker := time.NewTicker(delayProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		// One at a time: while it is under way its own age is the delay.
		if p.sentAt.CompareAndSwap(0, int64(process.Now())) {
			if _, err := writer.Write([]byte{0}); err != nil {
				return errs.Wrap(err, "send delay probe", "")
			}
		}
	}
}

// read hands on each probe that comes out of the pipe, until it is closed.
func (p *delayProbe) read(reader *os.File, put func()) {
	defer func() { _ = reader.Close() }()
	probe := make([]byte, 1)
	for {
		if _, err := reader.Read(probe); err != nil {
			return
		}
		put()
	}
}

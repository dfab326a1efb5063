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

// delayProbeInterval is the interval between probes of the message delay.
const delayProbeInterval = 250 * time.Millisecond

// messageDelayLogThreshold is the delay from which on message delays are logged.
const messageDelayLogThreshold = 300 * time.Millisecond

// maxMessageDelay is the delay up to which all received messages count as processed. A message
// may take a few times as long as a probe, since it is read in several parts. A probe takes a
// few milliseconds on an idle proxy.
const maxMessageDelay = 200 * time.Millisecond

// delayProbe measures the delay between the arrival of a message and its processing by Control.
// A probe takes the path of a registry's message: the network poller, a reading goroutine, and
// the event queue of Control. On an overloaded machine this can take seconds, while a newer
// configuration may be waiting unread in a socket.
type delayProbe struct {
	// sentAt is the send time of the probe in flight, as ids.Time; 0 if there is none.
	sentAt atomic.Int64
	// lastDelay is the delay of the last probe, as time.Duration.
	lastDelay atomic.Int64
}

// probeReturned is the event of a probe that has reached Control's event queue.
type probeReturned struct{}

// delay returns the current message delay: that of the last probe, or the age of the probe in
// flight if it is larger.
func (p *delayProbe) delay(now ids.Time) time.Duration {
	last := time.Duration(p.lastDelay.Load())
	if sentAt := p.sentAt.Load(); sentAt != 0 {
		last = max(last, now.Sub(ids.Time(sentAt)))
	}
	return last
}

// returned records the delay of the probe in flight, if there is one.
func (p *delayProbe) returned(now ids.Time) {
	if sentAt := p.sentAt.Swap(0); sentAt != 0 {
		p.lastDelay.Store(int64(now.Sub(ids.Time(sentAt))))
	}
}

// run sends probes through a pipe until the context is canceled. It calls put for each probe
// read from the pipe, to add it to Control's event queue.
func (p *delayProbe) run(ctx context.Context, put func()) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return errs.Wrap(err, "open pipe for delay probes", "")
	}
	// Closing the writer ends the reading goroutine.
	defer func() { _ = writer.Close() }()
	go p.read(reader, put)
	// A probe left over from an earlier run never returns.
	p.sentAt.Store(0)
	ticker := time.NewTicker(delayProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		// Only one probe is in flight at a time.
		if p.sentAt.CompareAndSwap(0, int64(process.Now())) {
			if _, err := writer.Write([]byte{0}); err != nil {
				return errs.Wrap(err, "send delay probe", "")
			}
		}
	}
}

// read calls put for each probe read from the pipe, until the pipe is closed.
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

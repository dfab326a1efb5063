package registry

import (
	"bytes"
	"time"

	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

const (
	// pollInterval is the interval between two reads of the configuration, and
	// incrementalPollInterval that of incremental registries: these get changes pushed
	// by the stores, and read only to renew the lease.
	pollInterval            = 500 * time.Millisecond
	incrementalPollInterval = 2 * pollInterval
	// pollTimeout limits the duration of a read. A read that takes longer than the
	// control lease can no longer renew it.
	pollTimeout = 2 * time.Second
)

// configurationState is the configuration in use, as last read from its register.
type configurationState struct {
	document *configuration.Document
	// view is the document in the form used by the rest of the registry.
	view *configuration.View

	// registerValue is the register's value as last read, and registerChecksum its
	// checksum; they let stores answer a read with "unchanged".
	registerValue    []byte
	registerChecksum uint64

	// encoded is the document as pushed to proxies that have none; encoded on first use.
	encoded []byte
	// deltas holds the item-wise changes from earlier revisions to the document
	// (Document.ChangesSince), computed on first use.
	deltas map[ids.Revision][]byte

	// readPending is true while a poll is in progress.
	readPending bool
	nextRead    ids.Time
}

// newConfigurationState returns the empty configuration, revision 0.
func newConfigurationState(regions map[ids.Name]string) configurationState {
	document, err := configuration.Decode(nil)
	if err != nil {
		panic("registry: cannot decode the empty configuration: " + err.Error())
	}
	view := document.View()
	view.SetRegions(regions)
	return configurationState{document: document, view: view}
}

// adopt replaces the configuration with a value read from the register, unless that is
// older. It reports whether the revision has changed.
func (c *configurationState) adopt(value []byte, regions map[ids.Name]string) (bool, error) {
	if len(value) > 0 && bytes.Equal(value, c.registerValue) {
		return false, nil
	}
	document, err := configuration.Decode(value)
	if err != nil {
		return false, err
	}
	if document.Revision < c.document.Revision {
		return false, nil
	}
	c.registerValue, c.registerChecksum = value, consensus.Checksum(value)
	if document.Revision == c.document.Revision {
		return false, nil
	}
	c.view = document.ViewReusing(c.document, c.view)
	c.view.SetRegions(regions)
	c.document, c.encoded = document, nil
	clear(c.deltas)
	return true, nil
}

// full returns the encoded configuration without its history; nil before the first change.
func (c *configurationState) full() []byte {
	if c.encoded == nil && c.document.Revision > 0 {
		c.encoded = c.document.Encode(false)
	}
	return c.encoded
}

// deltaFrom returns the encoded changes from an earlier revision to the configuration.
func (c *configurationState) deltaFrom(revision ids.Revision) []byte {
	if c.deltas == nil {
		c.deltas = map[ids.Revision][]byte{}
	}
	if c.deltas[revision] == nil {
		c.deltas[revision] = c.document.ChangesSince(revision)
	}
	return c.deltas[revision]
}

// adoptConfiguration adopts a value read from the register, and logs the result.
func (r *Registry) adoptConfiguration(value []byte) {
	changed, err := r.configuration.adopt(value, r.options.Regions)
	if err != nil {
		r.Log(event.LevelError, logConfigurationUnreadable, "error", err.Error())
		return
	}
	if changed {
		r.Log(event.LevelInfo, logConfigurationAdopted, "revision", formatUint(r.configuration.document.Revision))
	}
}

// handleChosen adopts a configuration that a store announces as chosen.
func (r *Registry) handleChosen(now ids.Time, chosen consensus.Chosen) {
	if chosen.Key == configuration.Key {
		r.adoptConfiguration(chosen.Value)
		r.pushToProxies(now)
	}
}

// handleChosenDelta adopts a configuration that a store announces as a binary delta
// (package delta) to the previous value. If the delta doesn't apply to the local value,
// the register is read.
func (r *Registry) handleChosenDelta(now ids.Time, chosen consensus.ChosenDelta) {
	if chosen.Key != configuration.Key {
		return
	}
	value, err := delta.Apply(r.configuration.registerValue, chosen.Delta)
	if err != nil {
		r.configuration.nextRead = now
		return
	}
	r.adoptConfiguration(value)
	r.pushToProxies(now)
}

// tickConfiguration polls the configuration when a poll or a probe for a majority is due.
func (r *Registry) tickConfiguration(now ids.Time) {
	due := now >= r.configuration.nextRead || r.isProbeDue(now)
	if due && !r.configuration.readPending && r.knowsStore() {
		r.pollConfiguration(now)
	}
}

// refreshConfiguration polls the configuration now, unless a poll is in progress.
func (r *Registry) refreshConfiguration(now ids.Time) {
	if !r.configuration.readPending {
		r.pollConfiguration(now)
	}
}

// pollConfiguration reads the configuration from a majority of the stores, which renews
// the control lease.
func (r *Registry) pollConfiguration(now ids.Time) {
	state := &r.configuration
	state.readPending = true
	state.nextRead = now.Add(pollInterval)
	if r.options.Incremental && !r.Client.HadUnresponsiveStore(now) {
		state.nextRead = now.Add(incrementalPollInterval)
	}
	r.Client.ReadIfChanged(now, configuration.Key, state.registerValue, state.registerChecksum, pollTimeout, func(_ ids.Time, outcome consensus.Outcome, value []byte) {
		state.readPending = false
		if outcome == consensus.Succeeded {
			r.lease.renew(now)
			r.adoptConfiguration(value)
		}
	})
}

// storeOrder returns the addresses of the stores in the order in which to try them: ready
// ones first. All registries use the same order, which makes dueling proposers unlikely;
// ballots keep the register consistent if they occur.
func (r *Registry) storeOrder(ids.RegisterKey) []ids.Address {
	var ready, others []ids.Address
	for _, store := range r.Live(membership.Store) {
		if store.Ready {
			ready = append(ready, store.Address)
		} else {
			others = append(others, store.Address)
		}
	}
	return append(ready, others...)
}

// knowsStore reports whether there is a store to read the configuration from. An
// incremental registry that has just started knows none; a read sent to no store would
// block the next one until it times out.
func (r *Registry) knowsStore() bool { return !r.options.Incremental || len(r.storeOrder("")) > 0 }

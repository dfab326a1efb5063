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
	// incrementalPollInterval the one of incremental registries: changes are pushed
	// to these by the stores, and their reads only renew the lease.
	pollInterval            = 500 * time.Millisecond
	incrementalPollInterval = 2 * pollInterval
	// pollTimeout is how long a read may take. One that takes longer than the control
	// lease couldn't renew it any more.
	pollTimeout = 2 * time.Second
)

// configurationState is the configuration in use, as last read from its register.
type configurationState struct {
	document *configuration.Document
	// view is the document as the other parts of the registry use it.
	view *configuration.View

	// registerValue is the register's value as last read, with its checksum; stores
	// answer a read that names both by "unchanged".
	registerValue    []byte
	registerChecksum uint64

	// encoded is the document as pushed to proxies that have none; nil until needed.
	encoded []byte
	// deltas lead to the document from earlier revisions, item by item
	// (Document.ChangesSince); computed when needed.
	deltas map[ids.Revision][]byte

	// readPending is true while a poll is under way.
	readPending bool
	nextRead    ids.Time
}

// newConfigurationState gives the empty configuration, revision 0.
func newConfigurationState(regions map[ids.Name]string) configurationState {
	document, err := configuration.Decode(nil)
	if err != nil {
		panic("registry: an empty register value is no configuration: " + err.Error())
	}
	view := document.View()
	view.SetRegions(regions)
	return configurationState{document: document, view: view}
}

// adopt replaces the configuration by a value that was read from the register, unless
// that is older. It tells whether the revision has changed.
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

// full gives the encoded configuration without its history; nil before the first change.
func (c *configurationState) full() []byte {
	if c.encoded == nil && c.document.Revision > 0 {
		c.encoded = c.document.Encode(false)
	}
	return c.encoded
}

// deltaFrom gives what leads from an earlier revision to the configuration.
func (c *configurationState) deltaFrom(revision ids.Revision) []byte {
	if c.deltas == nil {
		c.deltas = map[ids.Revision][]byte{}
	}
	if c.deltas[revision] == nil {
		c.deltas[revision] = c.document.ChangesSince(revision)
	}
	return c.deltas[revision]
}

// adoptConfiguration adopts and logs a value that was read from the register.
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

// handleChosenDelta adopts a configuration that a store announces as the binary
// difference (package delta) from the value before. If it doesn't apply to the value
// held, the register is read.
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

// tickConfiguration polls the configuration when it is due, or when a call waits for a
// sign of the majority.
func (r *Registry) tickConfiguration(now ids.Time) {
	due := now >= r.configuration.nextRead || r.isProbeDue(now)
	if due && !r.configuration.readPending && r.knowsStore() {
		r.pollConfiguration(now)
	}
}

// refreshConfiguration reads the configuration without waiting for the next poll.
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

// storeOrder gives the addresses of the stores in the order in which to ask them: those
// that are ready first. All registries use the same order, so that proposers seldom
// compete; ballots keep that safe if they do.
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

// knowsStore tells whether there is a store to read the configuration from. An
// incremental registry that has just started knows none; a read that reaches nobody
// would delay the next one by its time-out.
func (r *Registry) knowsStore() bool { return !r.options.Incremental || len(r.storeOrder("")) > 0 }

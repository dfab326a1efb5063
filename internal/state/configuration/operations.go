package configuration

import (
	"bytes"
	"encoding/json"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// Operations of the configuration's register. The numbers are part of the wire format.
const (
	// OpChange applies a Change.
	OpChange consensus.Op = 1
	// OpMerge applies a Merge.
	OpMerge consensus.Op = 2
	// OpSetZoneEvacuation applies a ZoneEvacuationRequest.
	OpSetZoneEvacuation consensus.Op = 3
)

// Ops returns the change functions of the configuration's register. They share an
// unsynchronized cache, so each proposer needs its own set.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	c := &documentCache{}
	return map[consensus.Op]consensus.ChangeFunc{
		OpChange:            c.changeFunc(OpChange, changeOperation),
		OpMerge:             c.changeFunc(OpMerge, decodedOperation((*Document).Merge)),
		OpSetZoneEvacuation: c.changeFunc(OpSetZoneEvacuation, decodedOperation((*Document).SetZoneEvacuation)),
	}
}

// operation applies an encoded request to a document. It returns d itself if nothing
// changes, and ok is false if the request can't be decoded.
type operation func(d *Document, arg []byte) (next *Document, res Result, ok bool)

// changeOperation validates a change and applies it if it has no violations.
func changeOperation(d *Document, arg []byte) (*Document, Result, bool) {
	change, violations := ReadChange(arg)
	if len(violations) > 0 {
		return d, Result{ID: change.ID, Revision: d.Revision, Violations: violations}, true
	}
	next, res := d.Apply(change)
	return next, res, true
}

// decodedOperation returns an operation that decodes a request from JSON and applies it.
func decodedOperation[T any](apply func(*Document, T) (*Document, Result)) operation {
	return func(d *Document, arg []byte) (*Document, Result, bool) {
		var request T
		if json.Unmarshal(arg, &request) != nil {
			return d, Result{}, false
		}
		next, res := apply(d, request)
		return next, res, true
	}
}

// documentCache caches the last value that was decoded or produced, as bytes and as a
// document, and the last operation. Entries are matched by comparing all bytes, so results
// don't depend on the cache. It avoids decoding the whole configuration for each change.
type documentCache struct {
	encoded  []byte
	document *Document
	lastRun  operationRun
}

// operationRun is one run of an operation with its input and output. A consensus round runs
// each operation twice: to learn whether the value changes, and for the value to propose.
type operationRun struct {
	op                 consensus.Op
	oldValue, arg      []byte
	newValue, response []byte
}

// matches reports whether the run had the given input.
func (r operationRun) matches(op consensus.Op, oldValue, arg []byte) bool {
	return r.op == op && r.response != nil && bytes.Equal(r.oldValue, oldValue) && bytes.Equal(r.arg, arg)
}

// changeFunc converts an operation to a change function of the register. The function
// returns the old value and no response if the value or the request can't be decoded.
func (c *documentCache) changeFunc(op consensus.Op, run operation) consensus.ChangeFunc {
	return func(_ ids.RegisterKey, oldValue, arg []byte) ([]byte, []byte) {
		if c.lastRun.matches(op, oldValue, arg) {
			return c.lastRun.newValue, c.lastRun.response
		}
		d, err := c.decode(oldValue)
		if err != nil {
			return oldValue, nil
		}
		next, res, ok := run(d, arg)
		if !ok {
			return oldValue, nil
		}
		// All fields of Result are of types that can be marshaled.
		response, _ := json.Marshal(res)
		newValue := oldValue
		if next != d {
			newValue = next.Encode(true)
			c.encoded, c.document = newValue, next
		}
		c.lastRun = operationRun{op, oldValue, arg, newValue, response}
		return newValue, response
	}
}

// decode decodes a value of the register, or returns the cached document if the bytes are
// the same.
func (c *documentCache) decode(value []byte) (*Document, error) {
	if c.document != nil && bytes.Equal(value, c.encoded) {
		return c.document, nil
	}
	d, err := Decode(value)
	if err == nil {
		c.encoded, c.document = value, d
	}
	return d, err
}

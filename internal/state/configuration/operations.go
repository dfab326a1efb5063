package configuration

import (
	"bytes"
	"encoding/json"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// The operations of the configuration's register. The numbers go over the wire.
const (
	// OpChange applies a Change.
	OpChange consensus.Op = 1
	// OpMerge applies a Merge.
	OpMerge consensus.Op = 2
	// OpOrderZone applies a ZoneOrder.
	OpOrderZone consensus.Op = 3
)

// Ops returns the change functions of the configuration's register. They share a
// cache, so each proposer needs its own.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	c := &cachedDocument{}
	return map[consensus.Op]consensus.ChangeFunc{
		OpChange:    c.changeFunc(OpChange, changeOperation),
		OpMerge:     c.changeFunc(OpMerge, decodedOperation((*Document).Merge)),
		OpOrderZone: c.changeFunc(OpOrderZone, decodedOperation((*Document).OrderZone)),
	}
}

// operation applies an encoded request to a document. It returns the same document if
// nothing changes, and ok false if the request can't be read.
type operation func(d *Document, arg []byte) (next *Document, res Result, ok bool)

// changeOperation checks a change before it is applied, and reports all its violations.
func changeOperation(d *Document, arg []byte) (*Document, Result, bool) {
	change, violations := ReadChange(arg)
	if len(violations) > 0 {
		return d, Result{ID: change.ID, Revision: d.Revision, Violations: violations}, true
	}
	next, res := d.Apply(change)
	return next, res, true
}

// decodedOperation is the operation that decodes a request as JSON and applies it.
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

// cachedDocument holds the last value that was decoded or produced, as bytes and as a
// document, and the last operation on it. Results don't depend on the cache, since
// the bytes are compared whole; without it, decoding fifteen thousand items for each
// change would be most of the change's cost.
type cachedDocument struct {
	encoded  []byte
	document *Document
	lastRun  operationRun
}

// operationRun is one run of an operation with its input and output. A consensus round asks
// twice: first whether the value changes, then for the value to propose.
type operationRun struct {
	op                 consensus.Op
	oldValue, arg      []byte
	newValue, response []byte
}

// isOf reports whether this run had just this input.
func (r operationRun) isOf(op consensus.Op, oldValue, arg []byte) bool {
	return r.op == op && r.response != nil && bytes.Equal(r.oldValue, oldValue) && bytes.Equal(r.arg, arg)
}

// changeFunc makes an operation a change function of the register. The function returns
// the old value and no response if the value or the request can't be read.
func (c *cachedDocument) changeFunc(op consensus.Op, run operation) consensus.ChangeFunc {
	return func(_ ids.RegisterKey, oldValue, arg []byte) ([]byte, []byte) {
		if c.lastRun.isOf(op, oldValue, arg) {
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
		// A Result has no field that encoding/json can't write.
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

// decode returns the document of a value, from the cache if the bytes are the same.
func (c *cachedDocument) decode(value []byte) (*Document, error) {
	if c.document != nil && bytes.Equal(value, c.encoded) {
		return c.document, nil
	}
	d, err := Decode(value)
	if err == nil {
		c.encoded, c.document = value, d
	}
	return d, err
}

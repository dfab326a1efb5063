package configuration

import (
	"bytes"
	"encoding/json"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// cachedDocument holds the configuration that its last change led to, decoded, and that
// change's outcome. Both are functions of bytes that are compared whole, so
// what it gives is the same as without them; reading fifteen thousand items
// anew for each change would be most of the change's cost.
type cachedDocument struct {
	encoded  []byte
	document *Document
	lastRun  stepRun
}

// stepRun is what one change function gave for one value and argument. A round
// asks twice: first whether anything changes, then for the value to propose.
type stepRun struct {
	op                 consensus.Op
	oldValue, arg      []byte
	newValue, response []byte
}

// step changes an opened configuration; an unchanged configuration is given back as it is.
type step func(p *Document, arg []byte) (next *Document, res Result, ok bool)

// changeFunc runs a step as a register's change function.
func (c *cachedDocument) changeFunc(op consensus.Op, run step) consensus.ChangeFunc {
	return func(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
		if l := c.lastRun; l.op == op && l.response != nil && bytes.Equal(l.oldValue, old) && bytes.Equal(l.arg, arg) {
			return l.newValue, l.response
		}
		p, err := c.decode(old)
		if err != nil {
			return old, nil
		}
		next, res, ok := run(p, arg)
		if !ok {
			return old, nil
		}
		response, _ := json.Marshal(res)
		value := old
		if next != p {
			value = next.Encode(true)
			c.encoded, c.document = value, next
		}
		c.lastRun = stepRun{op, old, arg, value, response}
		return value, response
	}
}

// decode reads a configuration, or gives the one at hand if it is of the same bytes.
// Configurations are never changed in place once they were given out.
func (c *cachedDocument) decode(raw []byte) (*Document, error) {
	if c.document != nil && bytes.Equal(raw, c.encoded) {
		return c.document, nil
	}
	p, err := Decode(raw)
	if err == nil {
		c.encoded, c.document = raw, p
	}
	return p, err
}

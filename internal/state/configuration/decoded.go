package configuration

import (
	"bytes"
	"encoding/json"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// changer holds the configuration that its last change led to, decoded, and that
// change's outcome. Both are functions of bytes that are compared whole, so
// what it gives is the same as without them; reading fifteen thousand items
// anew for each change would be most of the change's cost.
type changer struct {
	raw           []byte
	configuration *Document
	last          outcome
}

// outcome is what one change function gave for one value and argument. A round
// asks twice: first whether anything changes, then for the value to propose.
type outcome struct {
	op             consensus.Op
	old, arg       []byte
	next, response []byte
}

// step changes an opened configuration; an unchanged configuration is given back as it is.
type step func(p *Document, arg []byte) (next *Document, res Result, ok bool)

// change runs a step as a register's change function.
func (c *changer) change(op consensus.Op, run step) consensus.ChangeFunc {
	return func(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
		if l := c.last; l.op == op && l.response != nil && bytes.Equal(l.old, old) && bytes.Equal(l.arg, arg) {
			return l.next, l.response
		}
		p, err := c.open(old)
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
			c.raw, c.configuration = value, next
		}
		c.last = outcome{op, old, arg, value, response}
		return value, response
	}
}

// open reads a configuration, or gives the one at hand if it is of the same bytes.
// Configurations are never changed in place once they were given out.
func (c *changer) open(raw []byte) (*Document, error) {
	if c.configuration != nil && bytes.Equal(raw, c.raw) {
		return c.configuration, nil
	}
	p, err := Decode(raw)
	if err == nil {
		c.raw, c.configuration = raw, p
	}
	return p, err
}

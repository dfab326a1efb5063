package policy

import (
	"bytes"
	"encoding/json"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// changer holds the policy that its last change led to, decoded, and that
// change's outcome. Both are functions of bytes that are compared whole, so
// what it gives is the same as without them; reading fifteen thousand items
// anew for each change would be most of the change's cost.
type changer struct {
	raw    []byte
	policy *Policy
	last   outcome
}

// outcome is what one change function gave for one value and argument. A round
// asks twice: first whether anything changes, then for the value to propose.
type outcome struct {
	op             consensus.Op
	old, arg       []byte
	next, response []byte
}

// step changes an opened policy; an unchanged policy is given back as it is.
type step func(p *Policy, arg []byte) (next *Policy, res Result, ok bool)

// change runs a step as a register's change function.
func (c *changer) change(op consensus.Op, run step) consensus.ChangeFunc {
	return func(_ ids.Key, old, arg []byte) ([]byte, []byte) {
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
			value = next.Pack(true)
			c.raw, c.policy = value, next
		}
		c.last = outcome{op, old, arg, value, response}
		return value, response
	}
}

// open reads a policy, or gives the one at hand if it is of the same bytes.
// Policies are never changed in place once they were given out.
func (c *changer) open(raw []byte) (*Policy, error) {
	if c.policy != nil && bytes.Equal(raw, c.raw) {
		return c.policy, nil
	}
	p, err := Open(raw)
	if err == nil {
		c.raw, c.policy = raw, p
	}
	return p, err
}

package cli

import (
	"bytes"
	"fmt"
	"net/http"
)

// CoreCmd holds the commands for the recovery from a permanent loss of the majority.
type CoreCmd struct {
	Recover RecoverCmd `cmd:"" help:"Recover from the last remaining store, with two blank stores. Use only after the permanent loss of two disks." name:"refound"`
}

// RecoverCmd asks the store at --at to form a new voter set from its own data.
type RecoverCmd struct {
	AcceptLoss bool `help:"Confirm the loss of data that only the lost disks held." required:"" name:"accept-loss"`
}

// Run runs the command.
func (r *RecoverCmd) Run(c *Context) error {
	raw, err := c.Call(http.MethodPost, "/v1/core/refound", []byte(`{"accept_loss":true}`), callHeaders{})
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		fmt.Fprintf(c.Out, "%s\n", bytes.TrimSpace(raw))
		return nil
	})
}

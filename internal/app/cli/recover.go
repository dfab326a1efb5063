package cli

import (
	"bytes"
	"fmt"
	"net/http"
)

// CoreCmd holds the commands for a store that lost its majority for good.
type CoreCmd struct {
	Recover RecoverCmd `cmd:"" help:"Go on from the one store that is left, with two blank ones. Only after two disks are lost for good." name:"refound"`
}

// RecoverCmd asks the store at --at to go on alone.
type RecoverCmd struct {
	AcceptLoss bool `help:"Yes, what only the lost disks held is lost." required:"" name:"accept-loss"`
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

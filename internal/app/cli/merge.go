package cli

import (
	"errors"
	"fmt"

	"dunlinwell/internal/state/configuration"
)

const mergePath = "/v1/merge"

// MergeCmd sends items whose versions their caller gives.
type MergeCmd struct {
	File string `arg:"" help:"File with the merging; - for standard input." name:"file"`
}

// Run sends it. One whose end is uncertain may be sent again as it is.
func (m *MergeCmd) Run(c *Context) error {
	raw, err := readFile(m.File)
	if err != nil {
		return err
	}
	out, err := c.Call("POST", mergePath, raw, nil)
	var e *ExitError
	if errors.As(err, &e) && e.Code == ExitIndeterminate {
		return &ExitError{ExitIndeterminate, "uncertain: the merging may have been accepted; send it again as it is"}
	}
	if err != nil {
		if c.JSON && len(out) > 0 {
			fmt.Fprintln(c.Out, string(out))
		}
		return err
	}
	return c.Print(out, func() error {
		res, err := decodeResponse[configuration.Result](out)
		fmt.Fprintf(c.Out, "merged: revision %d\n", res.Revision)
		for _, t := range res.Items {
			fmt.Fprintf(c.Out, "  %s %s version %d holds\n", t.Kind, t.Name, t.Version)
		}
		return err
	})
}

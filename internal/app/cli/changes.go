package cli

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"dunlinwell/internal/app/manifest"
	"dunlinwell/internal/state/configuration"
)

// The API paths of changes of several items.
const (
	changePath = "/v1/change"
	mergePath  = "/v1/merge"
)

// submitChange sends a change and prints its result.
func (c *Context) submitChange(method, path string, body []byte, headers callHeaders) error {
	raw, err := c.Call(method, path, body, headers)
	if err != nil {
		c.printFailure(raw)
		return err
	}
	return c.Print(raw, func() error {
		result, err := decodeResponse[configuration.Result](raw)
		fmt.Fprintf(c.Out, "accepted: revision %d, change %s\n", result.Revision, result.ID)
		for _, item := range result.Items {
			if item.Version == 0 {
				fmt.Fprintf(c.Out, "  %s %s removed\n", item.Kind, item.Name)
			} else {
				fmt.Fprintf(c.Out, "  %s %s version %d\n", item.Kind, item.Name, item.Version)
			}
		}
		return err
	})
}

// ChangeCmd applies a change of several items.
type ChangeCmd struct {
	File string `arg:"" help:"JSON file with the change; - for standard input." name:"file"`
}

// Run runs the command.
func (h *ChangeCmd) Run(c *Context) error {
	raw, err := readFile(h.File)
	if err != nil {
		return err
	}
	return c.submitChange(http.MethodPost, changePath, raw, callHeaders{})
}

// MergeCmd merges items whose versions are set by the sender.
type MergeCmd struct {
	File string `arg:"" help:"JSON file with the items; - for standard input." name:"file"`
}

// Run runs the command. A merge is idempotent: if its outcome is unknown, it can be retried
// unchanged.
func (m *MergeCmd) Run(c *Context) error {
	body, err := readFile(m.File)
	if err != nil {
		return err
	}
	raw, err := c.Call(http.MethodPost, mergePath, body, callHeaders{})
	var exit *ExitError
	if errors.As(err, &exit) && exit.Code == ExitIndeterminate {
		return &ExitError{ExitIndeterminate, "outcome unknown: the merge may have been accepted; retry it unchanged"}
	}
	if err != nil {
		c.printFailure(raw)
		return err
	}
	return c.Print(raw, func() error {
		result, err := decodeResponse[configuration.Result](raw)
		fmt.Fprintf(c.Out, "merged: revision %d\n", result.Revision)
		for _, item := range result.Items {
			fmt.Fprintf(c.Out, "  %s %s current version %d\n", item.Kind, item.Name, item.Version)
		}
		return err
	})
}

// ApplyCmd applies Kubernetes-style objects as one change.
type ApplyCmd struct {
	File     string `short:"f" required:"" help:"YAML or JSON file with one or more objects; - for standard input." name:"file"`
	ChangeID string `help:"Idempotency key of the change." name:"change-id"`
}

// Run runs the command. If an object is invalid, nothing is sent.
func (a *ApplyCmd) Run(c *Context) error {
	raw, err := readFile(a.File)
	if err != nil {
		return err
	}
	id := a.ChangeID
	if id == "" {
		id = c.newChangeID(changePath)
	}
	change, violations := manifest.Read(id, raw)
	if len(violations) > 0 {
		var lines []string
		for _, v := range violations {
			lines = append(lines, strings.Join([]string{v.Item, v.Path, v.Reason}, ": "))
		}
		return &ExitError{ExitRejected, "rejected, nothing sent: " + strings.Join(lines, "; ")}
	}
	return c.submitChange(http.MethodPost, changePath, change, callHeaders{})
}

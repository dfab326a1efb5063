package cli

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"dunlinwell/internal/app/manifest"
	"dunlinwell/internal/state/configuration"
)

// The API's paths of whole changes.
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

// ChangeCmd sends a whole change.
type ChangeCmd struct {
	File string `arg:"" help:"File with the change; - for standard input." name:"file"`
}

// Run runs the command.
func (h *ChangeCmd) Run(c *Context) error {
	raw, err := readFile(h.File)
	if err != nil {
		return err
	}
	return c.submitChange(http.MethodPost, changePath, raw, callHeaders{})
}

// MergeCmd sends items with versions that their sender gives.
type MergeCmd struct {
	File string `arg:"" help:"File with the merging; - for standard input." name:"file"`
}

// Run runs the command. A merge whose end isn't known may be sent again as it is.
func (m *MergeCmd) Run(c *Context) error {
	body, err := readFile(m.File)
	if err != nil {
		return err
	}
	raw, err := c.Call(http.MethodPost, mergePath, body, callHeaders{})
	var exit *ExitError
	if errors.As(err, &exit) && exit.Code == ExitIndeterminate {
		return &ExitError{ExitIndeterminate, "uncertain: the merging may have been accepted; send it again as it is"}
	}
	if err != nil {
		c.printFailure(raw)
		return err
	}
	return c.Print(raw, func() error {
		result, err := decodeResponse[configuration.Result](raw)
		fmt.Fprintf(c.Out, "merged: revision %d\n", result.Revision)
		for _, item := range result.Items {
			fmt.Fprintf(c.Out, "  %s %s version %d holds\n", item.Kind, item.Name, item.Version)
		}
		return err
	})
}

// ApplyCmd sends Kubernetes-style objects as one whole change.
type ApplyCmd struct {
	File     string `short:"f" required:"" help:"File with one or more objects, YAML or JSON; - for standard input." name:"file"`
	ChangeID string `help:"Id of the change." name:"change-id"`
}

// Run runs the command. Objects with violations are rejected without being sent.
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
		return &ExitError{ExitRejected, "declined, nothing sent: " + strings.Join(lines, "; ")}
	}
	return c.submitChange(http.MethodPost, changePath, change, callHeaders{})
}

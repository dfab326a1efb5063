package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// newFileResolver returns a resolver for a JSON file of options. It rejects unknown keys,
// so that a misspelt option isn't silently ignored.
func newFileResolver(r io.Reader) (kong.Resolver, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var values map[string]any
	if err := json.Unmarshal(raw, &values); err != nil {
		return nil, fmt.Errorf("--params: %w", err)
	}
	jsonResolver, err := kong.JSON(strings.NewReader(string(raw)))
	if err != nil {
		return nil, err
	}
	return &strictResolver{jsonResolver, values}, nil
}

// strictResolver resolves flags from a file and rejects unknown keys.
type strictResolver struct {
	kong.Resolver
	values map[string]any
}

// Validate returns an error that lists all keys of the file that aren't flags.
func (r *strictResolver) Validate(app *kong.Application) error {
	known := map[string]bool{}
	for _, flag := range app.Flags {
		known[flag.Name] = true
		known[strings.ReplaceAll(flag.Name, "-", "_")] = true
	}
	var unknown []string
	for key := range r.values {
		if !known[key] {
			unknown = append(unknown, key)
		}
	}
	if len(unknown) > 0 {
		slices.Sort(unknown)
		return fmt.Errorf("--params: unknown options: %s", strings.Join(unknown, ", "))
	}
	return r.Resolver.Validate(app)
}

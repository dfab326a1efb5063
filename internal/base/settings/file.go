package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// newFileResolver reads a file of options, in JSON. A key that names no flag is an
// error, as a misspelt option would otherwise be ignored in silence.
func newFileResolver(r io.Reader) (kong.Resolver, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var values map[string]any
	if err := json.Unmarshal(raw, &values); err != nil {
		return nil, fmt.Errorf("--params: %w", err)
	}
	inner, err := kong.JSON(strings.NewReader(string(raw)))
	if err != nil {
		return nil, err
	}
	return &strictResolver{inner, values}, nil
}

// strictResolver resolves flags from a file, and rejects keys that name no flag.
type strictResolver struct {
	kong.Resolver
	values map[string]any
}

// Validate gives an error that lists the keys that name no flag.
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
		return fmt.Errorf("--params: no param is named %s", strings.Join(unknown, ", "))
	}
	return r.Resolver.Validate(app)
}

package settings

import (
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

func parseFlags(t *testing.T, args ...string) error {
	t.Helper()
	var c Common
	parser, err := kong.New(&c, kong.Configuration(newFileResolver))
	is.New(t).NoErr(err)
	_, err = parser.Parse(args)
	return err
}

var validArgs = []string{"--name", "c1", "--address", "10.0.0.1:1", "--http", "10.0.0.1:2", "--cell", "north", "--seeds", "10.0.0.1:3,10.0.0.2:3,10.0.0.3:3"}

func TestCommon_AcceptsValidFlags(t *testing.T) {
	is.New(t).NoErr(parseFlags(t, validArgs...))
}

func TestCommon_NamesTheInvalidFlag(t *testing.T) {
	for flag, value := range map[string]string{"name": "C 1", "address": "host:1", "http": "10.0.0.1", "cell": "", "seeds": "10.0.0.1:3", "log": "loud"} {
		t.Run(flag, func(t *testing.T) {
			err := parseFlags(t, append(slices.Clone(validArgs), "--"+flag, value)...)
			if err == nil || !strings.Contains(err.Error(), "--"+flag) {
				t.Errorf("--%s %q: got error %v, want one that names the flag", flag, value, err)
			}
		})
	}
}

func TestCommon_RejectsRepeatedSeeds(t *testing.T) {
	err := parseFlags(t, append(slices.Clone(validArgs), "--seeds", "10.0.0.1:3,10.0.0.1:3,10.0.0.2:3")...)
	is.New(t).True(err != nil)
}

func TestFileResolver_RejectsBrokenJSON(t *testing.T) {
	_, err := newFileResolver(strings.NewReader(`{"name":`))
	is.New(t).True(err != nil && strings.Contains(err.Error(), "--params"))
}

func TestFileResolver_NamesUnknownKeys(t *testing.T) {
	is := is.New(t)
	resolver, err := newFileResolver(strings.NewReader(`{"name":"c1","colour":"red"}`))
	is.NoErr(err)
	var c Common
	parser, err := kong.New(&c)
	is.NoErr(err)
	err = resolver.Validate(parser.Model)
	is.True(err != nil && strings.Contains(err.Error(), "colour"))
}

package settings

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

func parseFlags(t *testing.T, args ...string) error {
	t.Helper()
	var c Common
	k, err := kong.New(&c, kong.Configuration(newFileResolver))
	if err != nil {
		t.Fatal(err)
	}
	_, err = k.Parse(args)
	return err
}

var validArgs = []string{"--name", "c1", "--address", "10.0.0.1:1", "--http", "10.0.0.1:2", "--cell", "north", "--seeds", "10.0.0.1:3,10.0.0.2:3,10.0.0.3:3"}

// Each bad param is named, and a key of the file that is none too.
func TestCommon_NamesTheInvalidFlag(t *testing.T) {
	is := is.New(t)
	is.NoErr(parseFlags(t, validArgs...))
	for flag, bad := range map[string]string{"name": "C 1", "address": "host:1", "http": "10.0.0.1", "cell": "", "seeds": "10.0.0.1:3", "log": "loud"} {
		args := append([]string{}, validArgs...)
		args = append(args, "--"+flag, bad)
		err := parseFlags(t, args...)
		if err == nil || !strings.Contains(err.Error(), "--"+flag) {
			t.Errorf("--%s %q gave %v", flag, bad, err)
		}
	}
	err := parseFlags(t, append(append([]string{}, validArgs...), "--seeds", "10.0.0.1:3,10.0.0.1:3,10.0.0.2:3")...)
	is.True(err != nil)
	_, err = newFileResolver(strings.NewReader(`{"name":`))
	is.True(err != nil && strings.Contains(err.Error(), "--params"))
	r, err := newFileResolver(strings.NewReader(`{"name":"c1","colour":"red"}`))
	is.NoErr(err)
	var c Common
	k, err := kong.New(&c)
	is.NoErr(err)
	err = r.Validate(k.Model)
	is.True(err != nil && strings.Contains(err.Error(), "colour"))
}

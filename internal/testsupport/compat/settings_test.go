package compat

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"dunlinwell/internal/app/cli"
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/dataplane/proxy"
)

// programOptions returns the options that each program parses its flags into, by program.
func programOptions() map[string]any {
	return map[string]any{"proxy": &proxy.DaemonOptions{}, "registry": &daemon.RegistryOptions{}, "store": &daemon.StoreOptions{}, "dunlinwell": &cli.CLI{}}
}

// addFlags adds the flags, arguments and commands of a program to got.
func addFlags(node *kong.Node, path string, got map[string]string) {
	for _, f := range node.Flags {
		if f.Name != "help" {
			got[path+" --"+f.Name] = fmt.Sprintf("type %s default %q enum %q short %q env %q required %t", f.Target.Kind(), f.Default, f.Enum, string(f.Short), f.Envs, f.Required)
		}
	}
	for _, p := range node.Positional {
		got[path+" <"+p.Name+">"] = fmt.Sprintf("type %s required %t", p.Target.Kind(), p.Required)
	}
	for _, child := range node.Children {
		got[path+" "+child.Name] = "command"
		addFlags(child, path+" "+child.Name, got)
	}
}

// TestFlags checks that the names, types and defaults of all flags, arguments and commands are
// unchanged.
func TestFlags(t *testing.T) {
	got := map[string]string{}
	for name, into := range programOptions() {
		k, err := kong.New(into, kong.Name(name))
		if err != nil {
			t.Fatal(err)
		}
		addFlags(k.Model.Node, name, got)
	}
	checkGolden(t, "flags.txt", got)
}

// exampleValues holds a value other than the default for each flag.
var exampleValues = map[string]string{
	"name": "one-1", "address": "10.0.0.1:1", "bind": "10.0.0.9:1", "http": "10.0.0.1:2", "cell": "north", "seeds": "10.0.0.1:3,10.0.0.2:3,10.0.0.3:3",
	"http-bind": "10.0.0.9:2", "log": "warn", "max-response": "5000", "report-every": "3s", "inbox": "77", "lease": "2100ms", "consumers": "10.0.0.1:8",
	"max-held": "6000", "grace": "1s", "dial-within": "700ms", "by-cell": "true", "plan-every": "4s", "lifetime": "1500ms", "thrifty": "true",
	"data": "folder", "copies": "5", "bootstrap": "true",
}

// flagNames returns the names of a daemon's flags, except help and params.
func flagNames(t *testing.T, into any) []string {
	t.Helper()
	k, err := kong.New(into)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, f := range k.Model.Flags {
		if f.Name != "help" && f.Name != "params" {
			out = append(out, f.Name)
		}
	}
	return out
}

// readOptions reads a daemon's options by settings.Read from the arguments of a command line.
func readOptions(name string, into any, arguments []string) {
	before := os.Args
	defer func() { os.Args = before }()
	os.Args = append([]string{name}, arguments...)
	settings.Read(name, "", into)
}

// TestDaemonSettings_FlagsAndParamsFile checks that a daemon's options get the value of each flag,
// from the command line and from a parameter file, where names may have underscores.
func TestDaemonSettings_FlagsAndParamsFile(t *testing.T) {
	got := map[string]string{}
	for name, template := range programOptions() {
		if name == "dunlinwell" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			newOptions := func() any { return reflect.New(reflect.TypeOf(template).Elem()).Interface() }
			fromFlags, fromFile := newOptions(), newOptions()
			var arguments, params []string
			for _, flag := range flagNames(t, newOptions()) {
				is.True(exampleValues[flag] != "")
				arguments = append(arguments, "--"+flag+"="+exampleValues[flag])
				params = append(params, fmt.Sprintf("%q: %q", strings.ReplaceAll(flag, "-", "_"), exampleValues[flag]))
			}
			readOptions(name, fromFlags, arguments)
			file := filepath.Join(t.TempDir(), "params.json")
			is.NoErr(os.WriteFile(file, []byte("{"+strings.Join(params, ",")+"}"), 0o600))
			readOptions(name, fromFile, []string{"--params", file})
			flagValues, paramValues := fieldValues(fromFlags), fieldValues(fromFile)
			is.Equal(flagValues, paramValues)
			got[name] = strings.Join(flagValues, " ")
		})
	}
	checkGolden(t, "settings.txt", got)
}

// fieldValues returns the values of the options' fields, in order and without the fields' names.
func fieldValues(options any) []string {
	var out []string
	var walk func(v reflect.Value)
	walk = func(v reflect.Value) {
		for i := range v.NumField() {
			field := v.Field(i)
			switch {
			case v.Type().Field(i).Type == reflect.TypeFor[kong.ConfigFlag]() || v.Type().Field(i).Tag.Get("kong") == "-":
			case field.Kind() == reflect.Struct:
				walk(field)
			default:
				out = append(out, fmt.Sprint(field.Interface()))
			}
		}
	}
	walk(reflect.ValueOf(options).Elem())
	return out
}

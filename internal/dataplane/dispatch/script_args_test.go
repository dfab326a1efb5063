package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// scriptArgs are the "key" and "key=value" arguments of an event; a bare key has the value
// "yes".
type scriptArgs map[string]string

// parseArgs parses the arguments of an event and fails the test on an unknown key.
func parseArgs(t *testing.T, words []string, known ...string) scriptArgs {
	t.Helper()
	args := scriptArgs{}
	for _, word := range words {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			value = "yes"
		}
		if !slices.Contains(known, key) {
			t.Fatalf("unknown argument %q", word)
		}
		args[key] = value
	}
	return args
}

// has reports whether an argument is set.
func (a scriptArgs) has(key string) bool { return a[key] != "" }

// number returns a numeric argument; 0 if it isn't set.
func (a scriptArgs) number(t *testing.T, key string) int {
	t.Helper()
	if !a.has(key) {
		return 0
	}
	return parseNumber(t, a[key])
}

// duration returns a duration argument, or a default value if it isn't set.
func (a scriptArgs) duration(t *testing.T, key string, defaultValue time.Duration) time.Duration {
	t.Helper()
	if !a.has(key) {
		return defaultValue
	}
	d, err := time.ParseDuration(a[key])
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// parseNumber parses a decimal integer.
func parseNumber(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

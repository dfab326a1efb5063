package compat

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/memorydisk"
)

// TestConfiguration_ProxyEncoding checks that the encodings of the configuration for proxies, whole
// and as the changes since a revision, are unchanged and yield the same configuration.
func TestConfiguration_ProxyEncoding(t *testing.T) {
	is := is.New(t)
	values, _ := writeSample(t, memorydisk.Disk{})
	whole, err := configuration.Decode(values[configuration.Key])
	is.NoErr(err)
	older, err := configuration.Decode(nil)
	is.NoErr(err)
	ops := configuration.Ops()
	var value []byte
	for _, o := range sampleConfigurationOperations()[:3] {
		value, _ = ops[o.op](o.key, value, o.arg)
	}
	older, err = older.Advance(value)
	is.NoErr(err)
	is.Equal(older.Revision, ids.Revision(3))
	checkGolden(t, "policy.txt", map[string]string{
		"kept":    string(whole.Encode(true)),
		"whole":   string(whole.Encode(false)),
		"since 3": string(whole.ChangesSince(3)),
	})
	next, err := older.Advance(whole.ChangesSince(3))
	is.NoErr(err)
	is.Equal(string(next.Encode(false)), string(whole.Encode(false)))
}

package simulator

import (
	"encoding/binary"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/transport/wire"
)

// headerSize is the length of a frame's header, which no version may change.
const headerSize = 26

// encodeAsLaterVersion returns the kind and body of a frame as a later version would encode it,
// with additional fields at the end of the message.
func encodeAsLaterVersion(raw []byte) (wire.Kind, []byte) {
	kind := wire.Kind(binary.BigEndian.Uint16(raw[4:]))
	body := append([]byte{}, raw[headerSize:]...)
	binary.BigEndian.PutUint32(body, binary.BigEndian.Uint32(body)+12)
	return kind, append(body, "unknown here"...)
}

// Daemons of the current version must ignore fields and message kinds of a later version, which
// some daemons of the fleet use.
func TestMixedVersions_FleetDuringUpgrade(t *testing.T) {
	is := is.New(t)
	laterFrames := 0
	for seed := uint64(1); seed <= 2; seed++ {
		p := Options{Seed: seed}
		p.Defect.AlterMessage = func(from, _ string, msg any) (any, bool) {
			raw, err := wire.Encode(msg)
			is.NoErr(err)
			kind, body := wire.Kind(binary.BigEndian.Uint16(raw[4:])), raw[headerSize:]
			if strings.HasSuffix(from, "2") || strings.HasSuffix(from, "4") {
				kind, body = encodeAsLaterVersion(raw)
				laterFrames++
			}
			got, err := wire.Decode(kind, body)
			is.NoErr(err)
			none, err := wire.Decode(60000, body) // an unknown kind is ignored
			is.NoErr(err)
			is.Equal(none, nil)
			return got, true
		}
		o := Run(p)
		report(t, o)
		is.True(o.Responses["answered"] > 1000)
	}
	is.True(laterFrames > 1000)
}

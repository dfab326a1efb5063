package compat

import (
	"encoding/hex"
	"fmt"
	"go/token"
	"testing"

	"github.com/matryer/is"

	// The packages that register messages.
	_ "dunlinwell/internal/controlplane/distribution"
	_ "dunlinwell/internal/controlplane/membership"
	_ "dunlinwell/internal/controlplane/registry"
	_ "dunlinwell/internal/controlplane/spill"
	_ "dunlinwell/internal/controlplane/targets"
	_ "dunlinwell/internal/dataplane/proxy"
	_ "dunlinwell/internal/state/consensus"
	_ "dunlinwell/internal/state/election"
	_ "dunlinwell/internal/state/idempotency"
	_ "dunlinwell/internal/transport/process"
	"dunlinwell/internal/transport/wire"
)

// kindName returns the name of a kind in the golden files, which sorts by number.
func kindName(k wire.Kind) string { return fmt.Sprintf("%05d", k) }

// TestFrames_Encoding checks that the kind number, the header, and the order and width of the fields
// of every message are unchanged.
func TestFrames_Encoding(t *testing.T) {
	got := map[string]string{}
	for kind, of := range wire.RegisteredKinds() {
		raw, err := wire.Encode(filledMessage(t, of))
		if err != nil {
			t.Fatalf("kind %d: %v", kind, err)
		}
		got[kindName(kind)] = hex.EncodeToString(raw)
	}
	checkGolden(t, "wire.txt", got)
}

// TestKindNames checks that the names of message kinds in metrics and the log are unchanged.
func TestKindNames(t *testing.T) {
	got := map[string]string{}
	for kind := range wire.RegisteredKinds() {
		got[kindName(kind)] = kind.Name()
	}
	checkGolden(t, "kind_names.txt", got)
}

// TestFrames_RoundTrip checks that each golden frame is decoded to the filled message and that
// encoding the message reproduces the frame.
func TestFrames_RoundTrip(t *testing.T) {
	golden := readGolden(t, "testdata/wire.txt")
	for kind, of := range wire.RegisteredKinds() {
		t.Run(kindName(kind), func(t *testing.T) {
			is := is.New(t)
			raw, err := hex.DecodeString(golden[kindName(kind)])
			is.NoErr(err)
			header, msg, err := wire.ReadBytes(raw)
			is.NoErr(err)
			is.Equal(header.Kind, kind)
			is.Equal(header.Size(), len(raw))
			is.Equal(msg, filledMessage(t, of))
			again, err := wire.Encode(msg)
			is.NoErr(err)
			is.Equal(again, raw)
		})
	}
}

// TestMessages_FieldOrder checks that the fields of a message keep their positions.
func TestMessages_FieldOrder(t *testing.T) {
	is := is.New(t)
	golden := readGolden(t, "testdata/wire.txt")
	covered := map[wire.Kind]bool{}
	for _, msg := range messages {
		kind := wire.KindOfMessage(msg)
		covered[kind] = true
		raw, err := wire.Encode(msg)
		is.NoErr(err)
		is.Equal(hex.EncodeToString(raw), golden[kindName(kind)])
	}
	for kind, of := range wire.RegisteredKinds() {
		if !covered[kind] && token.IsExported(of.Name()) {
			t.Errorf("kind %d has no value in messages", kind)
		}
	}
}

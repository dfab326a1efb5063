package compat

import (
	"encoding/hex"
	"fmt"
	"go/token"
	"testing"

	"github.com/matryer/is"

	// All that register messages.
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

// kindName is how a kind stands in the golden file, sorting by number.
func kindName(k wire.Kind) string { return fmt.Sprintf("%05d", k) }

// Every message kind goes over the wire as it did: the same number, the same
// header and the same fields in the same order and width.
func TestFramesOnTheWire(t *testing.T) {
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

// Each kind keeps the name that metrics and the log have for it.
func TestNamesOfKinds(t *testing.T) {
	got := map[string]string{}
	for kind := range wire.RegisteredKinds() {
		got[kindName(kind)] = kind.Name()
	}
	checkGolden(t, "kind_names.txt", got)
}

// Each golden frame is read to the filled value and packs to the same again.
func TestFramesAreReadBack(t *testing.T) {
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

// Each field of a message keeps its place among the others.
func TestFieldsKeepTheirPlaces(t *testing.T) {
	is := is.New(t)
	golden := readGolden(t, "testdata/wire.txt")
	given := map[wire.Kind]bool{}
	for _, msg := range messages {
		kind := wire.KindOfMessage(msg)
		given[kind] = true
		raw, err := wire.Encode(msg)
		is.NoErr(err)
		is.Equal(hex.EncodeToString(raw), golden[kindName(kind)])
	}
	for kind, of := range wire.RegisteredKinds() {
		if !given[kind] && token.IsExported(of.Name()) {
			t.Errorf("kind %d has no value in messages", kind)
		}
	}
}

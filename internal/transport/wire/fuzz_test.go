package wire

import (
	"bytes"
	"encoding/binary"
	"testing"
)

// FuzzRead checks that Read neither panics nor reads past the end of a frame, and that
// messages that it returns survive a round trip through Encode.
func FuzzRead(f *testing.F) {
	for _, msg := range []any{newMessage{List: []newPart{{"a", 7}}, Extra: []byte("xyz"), Share: 0.5}, oldMessage{}, newMessage{Extra: bytes.Repeat([]byte("x"), minDeflateSize)}} {
		raw, err := Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(Deflate(raw))
		f.Add(append(bytes.Clone(raw), raw...))
		f.Add(raw[:len(raw)-1])
		for offset, value := range map[int]uint32{lengthOffset: MaxBodySize + 1, lengthOffset + 1: 7, headerSize: 1 << 31, flagsOffset: 1 << 24} {
			corrupt := bytes.Clone(raw)
			binary.BigEndian.PutUint32(corrupt[offset:], value)
			f.Add(corrupt)
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := bytes.NewReader(stream)
		for {
			before := r.Len()
			header, msg, err := Read(r)
			if err != nil {
				return
			}
			if before-r.Len() != header.Size() {
				t.Fatalf("frame of %d bytes: read %d bytes", header.Size(), before-r.Len())
			}
			if msg == nil {
				continue
			}
			encoded, err := Encode(msg)
			if err != nil {
				t.Fatalf("cannot encode %#v: %v", msg, err)
			}
			_, decoded, err := ReadBytes(encoded)
			if err != nil {
				t.Fatalf("cannot read encoded %#v: %v", msg, err)
			}
			if reencoded, _ := Encode(decoded); !bytes.Equal(encoded, reencoded) {
				t.Fatalf("round trip changed %#v to %#v", msg, decoded)
			}
		}
	})
}

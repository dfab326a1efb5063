package wire

import (
	"bytes"
	"encoding/binary"
	"testing"
)

// FuzzRead gives the frame reader any stream: it neither panics nor reads beyond a
// frame, and what it reads can be encoded again, and is then the same.
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
		for at, value := range map[int]uint32{lengthOffset: MaxBodySize + 1, lengthOffset + 1: 7, headerSize: 1 << 31, flagsOffset: 1 << 24} {
			bad := bytes.Clone(raw)
			binary.BigEndian.PutUint32(bad[at:], value)
			f.Add(bad)
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := bytes.NewReader(stream)
		for {
			before := r.Len()
			head, msg, err := Read(r)
			if err != nil {
				return
			}
			if before-r.Len() != head.Size() {
				t.Fatalf("a frame of %d bytes took %d", head.Size(), before-r.Len())
			}
			if msg == nil {
				continue
			}
			again, err := Encode(msg)
			if err != nil {
				t.Fatalf("%#v was read but can't be encoded: %v", msg, err)
			}
			_, same, err := ReadBytes(again)
			if err != nil {
				t.Fatalf("%#v can't be read back: %v", msg, err)
			}
			if twice, _ := Encode(same); !bytes.Equal(again, twice) {
				t.Fatalf("%#v came back as %#v", msg, same)
			}
		}
	})
}

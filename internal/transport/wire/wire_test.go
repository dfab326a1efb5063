package wire

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/matryer/is"
)

type oldPart struct{ Name string }

type newPart struct {
	Name string
	Size uint32
}

type oldMessage struct{ List []oldPart }

type newMessage struct {
	List  []newPart
	Extra []byte
	Share float64
}

var _ = Register(900, oldMessage{}) && Register(901, newMessage{})

// Rolling restarts mix versions: what a newer peer adds at the end is skipped,
// and what an older one lacks is zero.
func TestDecode_AcceptsOlderAndNewerVersions(t *testing.T) {
	is := is.New(t)
	raw, err := Encode(newMessage{List: []newPart{{"a", 7}, {"b", 8}}, Extra: []byte("x"), Share: 0.5})
	is.NoErr(err)
	msg, err := Decode(900, raw[headerSize:])
	is.NoErr(err)
	is.Equal(msg, oldMessage{List: []oldPart{{"a"}, {"b"}}})
	raw, err = Encode(oldMessage{List: []oldPart{{"c"}}})
	is.NoErr(err)
	msg, err = Decode(901, raw[headerSize:])
	is.NoErr(err)
	is.Equal(msg, newMessage{List: []newPart{{"c", 0}}})
	// An unknown kind is no problem; the next frame is read as usual.
	binary.BigEndian.PutUint16(raw[4:], 999)
	good, _ := Encode(oldMessage{})
	r := bytes.NewReader(append(raw, good...))
	_, msg, err = Read(r)
	is.NoErr(err)
	is.Equal(msg, nil)
	_, msg, err = Read(r)
	is.NoErr(err)
	is.Equal(msg, oldMessage{})
}

// A malformed frame is an error, never a crash nor a large allocation.
func TestRead_RejectsMalformedFrames(t *testing.T) {
	is := is.New(t)
	good, err := Encode(newMessage{List: []newPart{{"a", 7}}, Extra: []byte("xyz")})
	is.NoErr(err)
	for cut := range good {
		_, _, err := Read(bytes.NewReader(good[:cut]))
		is.True(err != nil)
	}
	long := bytes.Clone(good)
	binary.BigEndian.PutUint32(long[6:], MaxBodySize+1)
	_, _, err = Read(bytes.NewReader(long))
	is.True(err != nil)
	noMagic := bytes.Clone(good)
	noMagic[0] = 0
	_, _, err = Read(bytes.NewReader(noMagic))
	is.True(err != nil)
	// A list that claims four thousand million entries runs out of bytes.
	liar := bytes.Clone(good)
	binary.BigEndian.PutUint32(liar[headerSize+4:], 0xffffffff)
	_, _, err = Read(bytes.NewReader(liar))
	is.True(err != nil)
}

// A configuration of many thousand items is one frame; a claim of as much costs nothing
// until the bytes are there.
func TestRead_AllocatesAsBytesArrive(t *testing.T) {
	is := is.New(t)
	large, err := Encode(newMessage{Extra: bytes.Repeat([]byte("x"), 40<<20)})
	is.NoErr(err)
	_, msg, err := Read(bytes.NewReader(large))
	is.NoErr(err)
	is.Equal(len(msg.(newMessage).Extra), 40<<20)
	is.Equal(testing.Benchmark(func(b *testing.B) {
		for range b.N {
			_, _, _ = Read(bytes.NewReader(large[:headerSize+10]))
		}
	}).AllocedBytesPerOp() < 2*initialBodyBuffer, true)
}

func FuzzDecode(f *testing.F) {
	good, _ := Encode(newMessage{List: []newPart{{"a", 7}}, Extra: []byte("xyz")})
	f.Add(good[headerSize:])
	f.Fuzz(func(t *testing.T, raw []byte) {
		for k := range typesByKind {
			_, _ = Decode(k, raw)
		}
	})
}

// A deflated frame is read as the plain one is, and a small one stays plain.
func TestDeflate_ReadsBackAsPlain(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{10, 1 << 20} {
		plain, err := Encode(newMessage{List: make([]newPart, n/16)})
		is.NoErr(err)
		small := Deflate(plain)
		is.Equal(len(small) < len(plain), n > minDeflateSize)
		h, want, err := ReadBytes(plain)
		is.NoErr(err)
		_, got, err := ReadBytes(small)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(h.Kind, KindOfFrame(small))
		if n > minDeflateSize {
			// What is cut short is an error, not a shorter message.
			binary.BigEndian.PutUint32(small[lengthOffset:], uint32(len(small)/2-headerSize))
			_, _, err = ReadBytes(small[:len(small)/2])
			is.True(err != nil)
		}
	}
}

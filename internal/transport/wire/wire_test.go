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

type oldMsg struct{ List []oldPart }

type newMsg struct {
	List  []newPart
	Extra []byte
	Share float64
}

var _ = Register(900, oldMsg{}) && Register(901, newMsg{})

// Rolling restarts mix versions: what a newer peer adds at the end is skipped,
// and what an older one lacks is zero.
func TestVersionsMix(t *testing.T) {
	is := is.New(t)
	raw, err := Encode(newMsg{List: []newPart{{"a", 7}, {"b", 8}}, Extra: []byte("x"), Share: 0.5})
	is.NoErr(err)
	msg, err := Decode(900, raw[headSize:])
	is.NoErr(err)
	is.Equal(msg, oldMsg{List: []oldPart{{"a"}, {"b"}}})
	raw, err = Encode(oldMsg{List: []oldPart{{"c"}}})
	is.NoErr(err)
	msg, err = Decode(901, raw[headSize:])
	is.NoErr(err)
	is.Equal(msg, newMsg{List: []newPart{{"c", 0}}})
	// An unknown kind is no problem; the next frame is read as usual.
	binary.BigEndian.PutUint16(raw[4:], 999)
	good, _ := Encode(oldMsg{})
	r := bytes.NewReader(append(raw, good...))
	_, msg, err = Read(r)
	is.NoErr(err)
	is.Equal(msg, nil)
	_, msg, err = Read(r)
	is.NoErr(err)
	is.Equal(msg, oldMsg{})
}

// A malformed frame is an error, never a crash nor a large allocation.
func TestMalformedFrames(t *testing.T) {
	is := is.New(t)
	good, err := Encode(newMsg{List: []newPart{{"a", 7}}, Extra: []byte("xyz")})
	is.NoErr(err)
	for cut := range good {
		_, _, err := Read(bytes.NewReader(good[:cut]))
		is.True(err != nil)
	}
	long := bytes.Clone(good)
	binary.BigEndian.PutUint32(long[6:], MaxBody+1)
	_, _, err = Read(bytes.NewReader(long))
	is.True(err != nil)
	noMagic := bytes.Clone(good)
	noMagic[0] = 0
	_, _, err = Read(bytes.NewReader(noMagic))
	is.True(err != nil)
	// A list that claims four thousand million entries runs out of bytes.
	liar := bytes.Clone(good)
	binary.BigEndian.PutUint32(liar[headSize+4:], 0xffffffff)
	_, _, err = Read(bytes.NewReader(liar))
	is.True(err != nil)
}

// A policy of many thousand items is one frame; a claim of as much costs nothing
// until the bytes are there.
func TestLargeFrames(t *testing.T) {
	is := is.New(t)
	large, err := Encode(newMsg{Extra: bytes.Repeat([]byte("x"), 40<<20)})
	is.NoErr(err)
	_, msg, err := Read(bytes.NewReader(large))
	is.NoErr(err)
	is.Equal(len(msg.(newMsg).Extra), 40<<20)
	is.Equal(testing.Benchmark(func(b *testing.B) {
		for range b.N {
			_, _, _ = Read(bytes.NewReader(large[:headSize+10]))
		}
	}).AllocedBytesPerOp() < 2*firstRoom, true)
}

func FuzzOpen(f *testing.F) {
	good, _ := Encode(newMsg{List: []newPart{{"a", 7}}, Extra: []byte("xyz")})
	f.Add(good[headSize:])
	f.Fuzz(func(t *testing.T, raw []byte) {
		for k := range kinds {
			_, _ = Decode(k, raw)
		}
	})
}

// A deflated frame is read as the plain one is, and a small one stays plain.
func TestDeflatedFrames(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{10, 1 << 20} {
		plain, err := Encode(newMsg{List: make([]newPart, n/16)})
		is.NoErr(err)
		small := Deflate(plain)
		is.Equal(len(small) < len(plain), n > deflateFrom)
		h, want, err := ReadBytes(plain)
		is.NoErr(err)
		_, got, err := ReadBytes(small)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(h.Kind, KindOf(small))
		if n > deflateFrom {
			// What is cut short is an error, not a shorter message.
			binary.BigEndian.PutUint32(small[lengthAt:], uint32(len(small)/2-headSize))
			_, _, err = ReadBytes(small[:len(small)/2])
			is.True(err != nil)
		}
	}
}

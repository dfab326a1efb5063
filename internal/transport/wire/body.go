package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"reflect"

	"dunlinwell/internal/base/errs"
)

// encodeValue writes a value field by field in big-endian order: numbers at their
// own width, strings, bytes and lists behind a 32-bit count.
func encodeValue(b *bytes.Buffer, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return b.WriteByte(1)
		}
		return b.WriteByte(0)
	case reflect.Uint8:
		return b.WriteByte(byte(v.Uint()))
	case reflect.Uint16:
		b.Write(binary.BigEndian.AppendUint16(nil, uint16(v.Uint())))
	case reflect.Uint32:
		b.Write(binary.BigEndian.AppendUint32(nil, uint32(v.Uint())))
	case reflect.Uint64:
		b.Write(binary.BigEndian.AppendUint64(nil, v.Uint()))
	case reflect.Int, reflect.Int64:
		b.Write(binary.BigEndian.AppendUint64(nil, uint64(v.Int())))
	case reflect.Float64:
		b.Write(binary.BigEndian.AppendUint64(nil, math.Float64bits(v.Float())))
	case reflect.String:
		b.Write(binary.BigEndian.AppendUint32(nil, uint32(v.Len())))
		b.WriteString(v.String())
	case reflect.Slice:
		b.Write(binary.BigEndian.AppendUint32(nil, uint32(v.Len())))
		if v.Type().Elem().Kind() == reflect.Uint8 {
			b.Write(v.Bytes())
			return nil
		}
		for i := range v.Len() {
			if err := encodeValue(b, v.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		// Structs in lists are sized, so a newer one may have more fields.
		var in bytes.Buffer
		for i := range v.NumField() {
			if err := encodeValue(&in, v.Field(i)); err != nil {
				return err
			}
		}
		b.Write(binary.BigEndian.AppendUint32(nil, uint32(in.Len())))
		b.Write(in.Bytes())
	default:
		return errs.New("pack", "", "can't pack a %s", v.Type())
	}
	return nil
}

// ErrBodyTooShort: a body ends before the fields that its kind has.
var ErrBodyTooShort = errors.New("body too short")

func readUint(r *bytes.Reader, n int) (uint64, error) {
	var raw [8]byte
	if _, err := io.ReadFull(r, raw[8-n:]); err != nil {
		return 0, ErrBodyTooShort
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// readLength reads a count and checks it against what is left before any use.
func readLength(r *bytes.Reader) (int, error) {
	n, err := readUint(r, 4)
	if err != nil {
		return 0, err
	}
	if n > uint64(r.Len()) {
		return 0, ErrBodyTooShort
	}
	return int(n), nil
}

func decodeValue(r *bytes.Reader, v reflect.Value) error {
	var x uint64
	var err error
	switch v.Kind() {
	case reflect.Bool:
		if x, err = readUint(r, 1); err == nil {
			v.SetBool(x != 0)
		}
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		if x, err = readUint(r, int(v.Type().Size())); err == nil {
			v.SetUint(x)
		}
	case reflect.Int, reflect.Int64:
		if x, err = readUint(r, 8); err == nil {
			v.SetInt(int64(x))
		}
	case reflect.Float64:
		if x, err = readUint(r, 8); err == nil {
			v.SetFloat(math.Float64frombits(x))
		}
	case reflect.String, reflect.Slice:
		return decodeList(r, v)
	case reflect.Struct:
		return decodeStruct(r, v)
	default:
		return errs.New("unpack", "", "can't unpack a %s", v.Type())
	}
	return err
}

func decodeList(r *bytes.Reader, v reflect.Value) error {
	n, err := readLength(r)
	if err != nil {
		return err
	}
	if v.Kind() == reflect.String || v.Type().Elem().Kind() == reflect.Uint8 {
		raw := make([]byte, n)
		if _, err := io.ReadFull(r, raw); err != nil {
			return ErrBodyTooShort
		}
		if v.Kind() == reflect.String {
			v.SetString(string(raw))
		} else if n > 0 {
			v.SetBytes(raw)
		}
		return nil
	}
	// Grown as it is read: a lying count runs out of bytes, not of memory.
	for range n {
		e := reflect.New(v.Type().Elem()).Elem()
		if err := decodeValue(r, e); err != nil {
			return err
		}
		v.Set(reflect.Append(v, e))
	}
	return nil
}

func decodeStruct(r *bytes.Reader, v reflect.Value) error {
	n, err := readLength(r)
	if err != nil {
		return err
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return ErrBodyTooShort
	}
	in := bytes.NewReader(raw)
	for i := range v.NumField() {
		// An older peer's struct ends early: what it lacks stays zero.
		if in.Len() == 0 {
			return nil
		}
		if err := decodeValue(in, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

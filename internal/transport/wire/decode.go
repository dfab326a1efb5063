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

// ErrBodyTooShort is returned when a body ends before the value that it began.
var ErrBodyTooShort = errors.New("body too short")

// The widths of the format's numbers, in bytes.
const (
	widthBool  = 1
	widthCount = 4
	widthInt   = 8
)

// readUint reads a big-endian number of a width in bytes, 8 at most.
func readUint(r *bytes.Reader, width int) (uint64, error) {
	var raw [8]byte
	if _, err := io.ReadFull(r, raw[len(raw)-width:]); err != nil {
		return 0, ErrBodyTooShort
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// readLength reads a count. One that is larger than the bytes left can't be true, and
// must not cost memory.
func readLength(r *bytes.Reader) (int, error) {
	n, err := readUint(r, widthCount)
	if err != nil {
		return 0, err
	}
	if n > uint64(r.Len()) {
		return 0, ErrBodyTooShort
	}
	return int(n), nil
}

// readCounted reads a count and as many bytes.
func readCounted(r *bytes.Reader) ([]byte, error) {
	n, err := readLength(r)
	if err != nil {
		return nil, err
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return nil, ErrBodyTooShort
	}
	return raw, nil
}

// decodeValue is the reverse of encodeValue.
func decodeValue(r *bytes.Reader, v reflect.Value) error {
	var x uint64
	var err error
	switch v.Kind() {
	case reflect.Bool:
		if x, err = readUint(r, widthBool); err == nil {
			v.SetBool(x != 0)
		}
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		if x, err = readUint(r, int(v.Type().Size())); err == nil {
			v.SetUint(x)
		}
	case reflect.Int, reflect.Int64:
		if x, err = readUint(r, widthInt); err == nil {
			v.SetInt(int64(x))
		}
	case reflect.Float64:
		if x, err = readUint(r, widthInt); err == nil {
			v.SetFloat(math.Float64frombits(x))
		}
	case reflect.String:
		return decodeString(r, v)
	case reflect.Slice:
		return decodeList(r, v)
	case reflect.Struct:
		return decodeStruct(r, v)
	default:
		return errs.New("decode value", "", "%w: %s", ErrUnsupportedType, v.Type())
	}
	return err
}

func decodeString(r *bytes.Reader, v reflect.Value) error {
	raw, err := readCounted(r)
	if err != nil {
		return err
	}
	v.SetString(string(raw))
	return nil
}

func decodeList(r *bytes.Reader, v reflect.Value) error {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		return decodeBytes(r, v)
	}
	n, err := readLength(r)
	if err != nil {
		return err
	}
	// The list grows as its entries are read: a false count runs out of bytes, not of
	// memory.
	for range n {
		entry := reflect.New(v.Type().Elem()).Elem()
		if err := decodeValue(r, entry); err != nil {
			return err
		}
		v.Set(reflect.Append(v, entry))
	}
	return nil
}

// decodeBytes reads a list of bytes; an empty one stays nil.
func decodeBytes(r *bytes.Reader, v reflect.Value) error {
	raw, err := readCounted(r)
	if err != nil {
		return err
	}
	if len(raw) > 0 {
		v.SetBytes(raw)
	}
	return nil
}

func decodeStruct(r *bytes.Reader, v reflect.Value) error {
	raw, err := readCounted(r)
	if err != nil {
		return err
	}
	fields := bytes.NewReader(raw)
	for i := range v.NumField() {
		// An older writer's struct ends early: the fields that it lacks stay zero.
		if fields.Len() == 0 {
			return nil
		}
		if err := decodeValue(fields, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

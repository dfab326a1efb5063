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

// ErrBodyTooShort is returned when a body ends within a value.
var ErrBodyTooShort = errors.New("body too short")

// Widths of encoded numbers, in bytes.
const (
	widthBool  = 1
	widthCount = 4
	widthInt   = 8
)

// readUint reads a big-endian number of width bytes, at most 8.
func readUint(r *bytes.Reader, width int) (uint64, error) {
	var raw [8]byte
	if _, err := io.ReadFull(r, raw[len(raw)-width:]); err != nil {
		return 0, ErrBodyTooShort
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// readLength reads a count. It rejects a count that exceeds the number of remaining bytes,
// so that a corrupt count can't cause a large allocation.
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

// readCounted reads a count, and then as many bytes.
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

// decodeValue decodes a value written by encodeValue.
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
	// The list isn't allocated in advance: its entries may take more memory than their
	// encoding, so a corrupt count could cause a large allocation.
	for range n {
		entry := reflect.New(v.Type().Elem()).Elem()
		if err := decodeValue(r, entry); err != nil {
			return err
		}
		v.Set(reflect.Append(v, entry))
	}
	return nil
}

// decodeBytes decodes a byte slice. An empty one is left nil.
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
		// A struct encoded by an older version lacks the newer fields; they stay zero.
		if fields.Len() == 0 {
			return nil
		}
		if err := decodeValue(fields, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

package simulator

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
)

// errEncodingTruncated means that an encoded value ends early or contains a length beyond its end.
var errEncodingTruncated = errors.New("encoded value is truncated")

// decodeValue sets a value from its encoding, which must have no trailing bytes.
func decodeValue(raw []byte, v reflect.Value) error {
	r := bytes.NewReader(raw)
	if err := readValue(r, v); err != nil {
		return err
	}
	if r.Len() > 0 {
		return fmt.Errorf("%d bytes after the encoded value", r.Len())
	}
	return nil
}

// readValue reads a value encoded by appendValue. Interface values can't be decoded, since their
// types are not recorded.
func readValue(r *bytes.Reader, v reflect.Value) error {
	switch v.Kind() {
	case reflect.Bool:
		b, err := r.ReadByte()
		v.SetBool(b != 0)
		return err
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n, err := binary.ReadVarint(r)
		v.SetInt(n)
		return err
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := binary.ReadUvarint(r)
		v.SetUint(n)
		return err
	case reflect.Float32, reflect.Float64:
		var raw [8]byte
		_, err := io.ReadFull(r, raw[:])
		v.SetFloat(math.Float64frombits(binary.BigEndian.Uint64(raw[:])))
		return err
	case reflect.String:
		raw, err := readBytes(r)
		v.SetString(string(raw))
		return err
	case reflect.Struct:
		return readFields(r, v)
	case reflect.Slice:
		return readSlice(r, v)
	case reflect.Array:
		return readElements(r, v)
	case reflect.Map:
		return readMap(r, v)
	case reflect.Pointer:
		if b, err := r.ReadByte(); err != nil || b == 0 {
			return err
		}
		v.Set(reflect.New(v.Type().Elem()))
		return readValue(r, v.Elem())
	}
	return fmt.Errorf("kind %s can't be decoded", v.Kind())
}

func readBytes(r *bytes.Reader) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil || n > uint64(r.Len()) {
		return nil, errEncodingTruncated
	}
	raw := make([]byte, n)
	_, err = io.ReadFull(r, raw)
	return raw, err
}

// readCount reads the length of a slice or map, or -1 for a nil one.
func readCount(r *bytes.Reader) (int, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil || n > uint64(r.Len())+1 {
		return 0, errEncodingTruncated
	}
	return int(n) - 1, nil
}

func readFields(r *bytes.Reader, v reflect.Value) error {
	for i := range v.NumField() {
		if !encoded(v.Type().Field(i)) {
			continue
		}
		if err := readValue(r, v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func readSlice(r *bytes.Reader, v reflect.Value) error {
	n, err := readCount(r)
	if err != nil || n < 0 {
		return err
	}
	v.Set(reflect.MakeSlice(v.Type(), n, n))
	return readElements(r, v)
}

func readElements(r *bytes.Reader, v reflect.Value) error {
	for i := range v.Len() {
		if err := readValue(r, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func readMap(r *bytes.Reader, v reflect.Value) error {
	n, err := readCount(r)
	if err != nil || n < 0 {
		return err
	}
	v.Set(reflect.MakeMap(v.Type()))
	for range n {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		if err := readValue(r, key); err != nil {
			return err
		}
		if err := readValue(r, value); err != nil {
			return err
		}
		v.SetMapIndex(key, value)
	}
	return nil
}

package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"reflect"

	"dunlinwell/internal/base/errs"
)

// ErrUnsupportedType is returned for a message with a field of a type that can't be encoded,
// such as a map or a pointer.
var ErrUnsupportedType = errors.New("unsupported type")

// encodeValue encodes a value. Numbers are big-endian with the width of their type. Strings,
// byte slices and lists are prefixed with a 32-bit count. Structs are prefixed with their
// 32-bit length in bytes, so that a reader can skip fields that it doesn't know.
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
		writeUint32(b, uint32(v.Uint()))
	case reflect.Uint64:
		writeUint64(b, v.Uint())
	case reflect.Int, reflect.Int64:
		writeUint64(b, uint64(v.Int()))
	case reflect.Float64:
		writeUint64(b, math.Float64bits(v.Float()))
	case reflect.String:
		writeUint32(b, uint32(v.Len()))
		b.WriteString(v.String())
	case reflect.Slice:
		return encodeList(b, v)
	case reflect.Struct:
		return encodeStruct(b, v)
	default:
		return errs.New("encode value", "", "%w: %s", ErrUnsupportedType, v.Type())
	}
	return nil
}

func writeUint32(b *bytes.Buffer, x uint32) { b.Write(binary.BigEndian.AppendUint32(nil, x)) }

func writeUint64(b *bytes.Buffer, x uint64) { b.Write(binary.BigEndian.AppendUint64(nil, x)) }

func encodeList(b *bytes.Buffer, v reflect.Value) error {
	writeUint32(b, uint32(v.Len()))
	if v.Type().Elem().Kind() == reflect.Uint8 {
		b.Write(v.Bytes())
		return nil
	}
	for i := range v.Len() {
		if err := encodeValue(b, v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func encodeStruct(b *bytes.Buffer, v reflect.Value) error {
	var fields bytes.Buffer
	for i := range v.NumField() {
		if err := encodeValue(&fields, v.Field(i)); err != nil {
			return err
		}
	}
	writeUint32(b, uint32(fields.Len()))
	b.Write(fields.Bytes())
	return nil
}

package simulator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"slices"
)

// maxDepth is the maximum nesting of an encoded value, so that a pointer cycle is an error.
const maxDepth = 64

// appendValue appends the encoding of a value, without names: the exported fields of a struct in
// their order. Integers are varints; slices and maps are preceded by their length plus one, nil
// ones are encoded as zero.
func appendValue(out []byte, v reflect.Value, depth int) ([]byte, error) {
	if depth > maxDepth {
		return out, fmt.Errorf("value is nested more than %d levels deep", maxDepth)
	}
	switch v.Kind() {
	case reflect.Bool:
		return appendBool(out, v.Bool()), nil
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return binary.AppendVarint(out, v.Int()), nil
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return binary.AppendUvarint(out, v.Uint()), nil
	case reflect.Float32, reflect.Float64:
		return binary.BigEndian.AppendUint64(out, math.Float64bits(v.Float())), nil
	case reflect.String:
		return appendBytes(out, []byte(v.String())), nil
	case reflect.Struct:
		return appendFields(out, v, depth)
	case reflect.Slice:
		if v.IsNil() {
			return append(out, 0), nil
		}
		return appendElements(binary.AppendUvarint(out, uint64(v.Len())+1), v, depth)
	case reflect.Array:
		return appendElements(out, v, depth)
	case reflect.Map:
		return appendMap(out, v, depth)
	case reflect.Pointer:
		if out = appendBool(out, !v.IsNil()); v.IsNil() {
			return out, nil
		}
		return appendValue(out, v.Elem(), depth+1)
	case reflect.Interface:
		return appendInterface(out, v, depth)
	}
	return out, fmt.Errorf("kind %s can't be encoded", v.Kind())
}

func appendBool(out []byte, set bool) []byte {
	if set {
		return append(out, 1)
	}
	return append(out, 0)
}

// appendBytes appends bytes preceded by their count.
func appendBytes(out, raw []byte) []byte {
	return append(binary.AppendUvarint(out, uint64(len(raw))), raw...)
}

func appendElements(out []byte, v reflect.Value, depth int) ([]byte, error) {
	var err error
	for i := range v.Len() {
		if out, err = appendValue(out, v.Index(i), depth+1); err != nil {
			return out, err
		}
	}
	return out, nil
}

func appendFields(out []byte, v reflect.Value, depth int) ([]byte, error) {
	var err error
	for i := range v.NumField() {
		if !encoded(v.Type().Field(i)) {
			continue
		}
		if out, err = appendValue(out, v.Field(i), depth+1); err != nil {
			return out, err
		}
	}
	return out, nil
}

// encoded reports whether a field is part of the encoding. Unexported fields, functions and
// channels are not.
func encoded(f reflect.StructField) bool {
	switch f.Type.Kind() {
	case reflect.Func, reflect.Chan:
		return false
	case reflect.Struct:
		return f.IsExported() || f.Anonymous
	}
	return f.IsExported()
}

// appendMap appends a map's entries, sorted by encoded key.
func appendMap(out []byte, v reflect.Value, depth int) ([]byte, error) {
	if v.IsNil() {
		return append(out, 0), nil
	}
	type entry struct {
		key   []byte
		value reflect.Value
	}
	var entries []entry
	for each := v.MapRange(); each.Next(); {
		key, err := appendValue(nil, each.Key(), depth+1)
		if err != nil {
			return out, err
		}
		entries = append(entries, entry{key, each.Value()})
	}
	slices.SortFunc(entries, func(a, b entry) int { return bytes.Compare(a.key, b.key) })
	out = binary.AppendUvarint(out, uint64(len(entries))+1)
	var err error
	for _, e := range entries {
		if out, err = appendValue(append(out, e.key...), e.value, depth+1); err != nil {
			return out, err
		}
	}
	return out, nil
}

// appendInterface appends the value of an interface, preceded by its kindOf and its reflect.Kind.
func appendInterface(out []byte, v reflect.Value, depth int) ([]byte, error) {
	if v.IsNil() {
		return append(out, 0), nil
	}
	v = v.Elem()
	out = appendBytes(append(out, 1), []byte(kindOf(v.Interface())))
	out = appendBytes(out, []byte(v.Kind().String()))
	return appendValue(out, v, depth+1)
}

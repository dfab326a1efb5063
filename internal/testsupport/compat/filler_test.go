package compat

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// filler sets the fields of a value, in order, to contents that differ from field to field.
type filler struct {
	position uint64
	// alternate sets every second bool to false, so that neighbours differ. Without it all are
	// true, for encodings that omit false.
	alternate bool
	// active holds the struct types being filled, to end the recursion in recursive types.
	active map[reflect.Type]bool
}

// filledMessage returns the message of a type as it is encoded in testdata/wire.txt.
func filledMessage(t *testing.T, of reflect.Type) any {
	t.Helper()
	v := reflect.New(of).Elem()
	f := filler{active: map[reflect.Type]bool{}, alternate: true}
	f.fill(t, v)
	return v.Interface()
}

// next returns the position of the next field.
func (f *filler) next() uint64 {
	f.position++
	return f.position
}

// fill sets a value according to its kind.
func (f *filler) fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Interface().(type) {
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.next()))
		return
	case json.Number:
		v.SetString(fmt.Sprint(f.next()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(f.next()%2 == 1 || !f.alternate)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		v.SetUint(f.number(v))
	case reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Int:
		v.SetInt(int64(f.number(v)))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.next()))
	case reflect.Slice:
		f.fillSlice(t, v)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(t, v.Index(i))
		}
	case reflect.Map:
		f.fillMap(t, v)
	case reflect.Pointer:
		if !f.active[v.Type().Elem()] {
			v.Set(reflect.New(v.Type().Elem()))
			f.fill(t, v.Elem())
		}
	case reflect.Struct:
		f.fillStruct(t, v)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("text-%d", f.next())))
	default:
		t.Fatalf("unsupported type %s", v.Type())
	}
}

// number returns a number that also sets an upper byte of wide types.
func (f *filler) number(v reflect.Value) uint64 {
	n := f.next()
	switch v.Type().Size() {
	case 1:
		return n % 100
	case 2:
		return 0x0100 + n
	case 4:
		return 0x010000 + n
	}
	return 0x0100000000 + n
}

// fillSlice sets a slice to two elements, or to nil within its own element type.
func (f *filler) fillSlice(t *testing.T, v reflect.Value) {
	t.Helper()
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	if v.Type().Elem().Kind() == reflect.Struct && f.active[v.Type().Elem()] {
		v.SetZero()
		return
	}
	for i := range v.Len() {
		f.fill(t, v.Index(i))
	}
}

// fillMap sets a map to two entries.
func (f *filler) fillMap(t *testing.T, v reflect.Value) {
	t.Helper()
	v.Set(reflect.MakeMap(v.Type()))
	for range 2 {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(t, key)
		f.fill(t, value)
		v.SetMapIndex(key, value)
	}
}

// fillStruct fills the exported fields of a struct. It sets a time.Time as a whole.
func (f *filler) fillStruct(t *testing.T, v reflect.Value) {
	t.Helper()
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+int64(f.next()), 0).UTC()))
		return
	}
	f.active[v.Type()] = true
	defer delete(f.active, v.Type())
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			f.fill(t, v.Field(i))
		}
	}
}

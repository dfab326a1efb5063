package compat

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// filler gives every field of a value content that differs from that of any
// other field, in the order in which the fields stand.
type filler struct {
	position uint64
	// alternate makes every second bool false, so that neighbours differ; for
	// forms that leave out what is false all are true.
	alternate bool
	// open holds the structs that are being filled, so that a type that holds
	// itself is filled one level deep.
	open map[reflect.Type]bool
}

// filledMessage gives a message as it stands in the golden file of the wire.
func filledMessage(t *testing.T, of reflect.Type) any {
	t.Helper()
	v := reflect.New(of).Elem()
	f := filler{open: map[reflect.Type]bool{}, alternate: true}
	f.fill(t, v)
	return v.Interface()
}

// next counts the fields.
func (f *filler) next() uint64 {
	f.position++
	return f.position
}

// fill fills a value by its kind.
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
		if !f.open[v.Type().Elem()] {
			v.Set(reflect.New(v.Type().Elem()))
			f.fill(t, v.Elem())
		}
	case reflect.Struct:
		f.fillStruct(t, v)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("text-%d", f.next())))
	default:
		t.Fatalf("can't fill a %s", v.Type())
	}
}

// number gives a number that uses the upper bytes of wide types too.
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

// fillSlice gives a slice two entries.
func (f *filler) fillSlice(t *testing.T, v reflect.Value) {
	t.Helper()
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	if v.Type().Elem().Kind() == reflect.Struct && f.open[v.Type().Elem()] {
		v.SetZero()
		return
	}
	for i := range v.Len() {
		f.fill(t, v.Index(i))
	}
}

// fillMap gives a map two entries.
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

// fillStruct fills the exported fields; a time is given whole.
func (f *filler) fillStruct(t *testing.T, v reflect.Value) {
	t.Helper()
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+int64(f.next()), 0).UTC()))
		return
	}
	f.open[v.Type()] = true
	defer delete(f.open, v.Type())
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			f.fill(t, v.Field(i))
		}
	}
}

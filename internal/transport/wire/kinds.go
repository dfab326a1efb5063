package wire

import (
	"maps"
	"reflect"
)

// Kinds gives the message type of every registered kind.
func Kinds() map[Kind]reflect.Type { return maps.Clone(kinds) }

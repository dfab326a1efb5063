package wire

import (
	"maps"
	"reflect"
)

// RegisteredKinds gives the message type of every registered kind.
func RegisteredKinds() map[Kind]reflect.Type { return maps.Clone(typesByKind) }

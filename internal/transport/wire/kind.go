package wire

import (
	"encoding/binary"
	"maps"
	"reflect"
)

// Kind is the number of a message type on the wire.
type Kind uint16

var (
	typesByKind = map[Kind]reflect.Type{}
	kindsByType = map[reflect.Type]Kind{}
	namesByKind = map[Kind]string{}
)

// Register assigns a kind to a message type. It must be called during package
// initialization, and returns true so that it can initialize a variable. It panics if the
// kind is already registered.
func Register(kind Kind, message any) bool {
	return RegisterNamed(kind, reflect.TypeOf(message).String(), message)
}

// RegisterNamed is like Register, for a message type that has been renamed since its kind
// was introduced. The name is the type's original name, which must not change, as it appears
// in the log and as the label "kind" of the traffic metrics.
func RegisterNamed(kind Kind, name string, message any) bool {
	t := reflect.TypeOf(message)
	if _, taken := typesByKind[kind]; taken {
		panic("wire: kind already registered: " + t.String())
	}
	typesByKind[kind], kindsByType[t], namesByKind[kind] = t, kind, name
	return true
}

// RegisteredKinds returns the message types of all registered kinds.
func RegisteredKinds() map[Kind]reflect.Type { return maps.Clone(typesByKind) }

// Name returns the name of the kind in metrics and the log, such as membership.Heartbeat. It
// is empty for an unknown kind.
func (k Kind) Name() string { return namesByKind[k] }

// KindOfMessage returns the kind of a message, or 0 if its type isn't registered.
func KindOfMessage(message any) Kind { return kindsByType[reflect.TypeOf(message)] }

// KindOfFrame returns the kind of an encoded frame, or 0 if it is shorter than a header.
func KindOfFrame(frame []byte) Kind {
	if len(frame) < headerSize {
		return 0
	}
	return Kind(binary.BigEndian.Uint16(frame[kindOffset:]))
}

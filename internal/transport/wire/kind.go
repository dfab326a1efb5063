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

// Register assigns a kind to a message type, and returns true so that it can stand
// in a variable's declaration. It must be called while the program initializes, and
// panics if the kind is taken.
func Register(kind Kind, message any) bool {
	return RegisterNamed(kind, reflect.TypeOf(message).String(), message)
}

// RegisterNamed is Register for a message whose type has been renamed since its kind was
// first used: name is the type's first name, which operators see as the kind label of the
// traffic metrics and in the log, and which therefore stays.
func RegisterNamed(kind Kind, name string, message any) bool {
	t := reflect.TypeOf(message)
	if _, taken := typesByKind[kind]; taken {
		panic("wire: kind taken twice: " + t.String())
	}
	typesByKind[kind], kindsByType[t], namesByKind[kind] = t, kind, name
	return true
}

// RegisteredKinds gives the message type of every registered kind.
func RegisteredKinds() map[Kind]reflect.Type { return maps.Clone(typesByKind) }

// Name gives the name under which operators know the kind, such as membership.Heartbeat;
// empty for an unknown kind.
func (k Kind) Name() string { return namesByKind[k] }

// KindOfMessage gives the kind of a message; 0 if its type isn't registered.
func KindOfMessage(message any) Kind { return kindsByType[reflect.TypeOf(message)] }

// KindOfFrame gives the kind of an encoded frame; 0 if it is shorter than a header.
func KindOfFrame(frame []byte) Kind {
	if len(frame) < headerSize {
		return 0
	}
	return Kind(binary.BigEndian.Uint16(frame[kindOffset:]))
}

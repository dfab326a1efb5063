// Package sound tells whether bytes from outside may be read as JSON at all.
package jsoncheck

import "github.com/tidwall/gjson"

// deepest is how far objects and lists may stand within one another. gjson reads
// each level by a call of its own, and the stack of millions ends the process.
const deepest = 1 << 15

// JSON tells whether raw is valid JSON that doesn't nest without measure.
func JSON(raw []byte) bool { return Depth(raw) <= deepest && gjson.ValidBytes(raw) }

// Depth tells how far objects and lists stand within one another.
func Depth(raw []byte) int {
	most, now, text := 0, 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case text && c == '\\':
			i++
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			now++
			most = max(most, now)
		case c == '}' || c == ']':
			now--
		}
	}
	return most
}

package jsoncheck

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestValid(t *testing.T) {
	is := is.New(t)
	for raw, want := range map[string]bool{
		`{}`: true, `7`: true, `{"a":"[[[{\"","b":[1,{}]}`: true, ``: false, `{`: false, `{}{}`: false, `"\`: false, `]]]`: false,
		strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth):       true,
		strings.Repeat("[", maxDepth+1) + strings.Repeat("]", maxDepth+1):   false,
		strings.Repeat("[", 40<<20):                                         false, // read level by level it would end the process
		strings.Repeat(`{"a":`, 10<<20) + "1" + strings.Repeat("}", 10<<20): false,
	} {
		is.Equal(Valid([]byte(raw)), want)
	}
	is.Equal(Depth([]byte(`{"a":"[[[{\"","b":[1,{}]}`)), 3)
}

package errs

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

var errSample = errors.New("disk is full")

func TestOpError_TextHasStepSubjectAndCause(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want string
	}{
		"no subject":       {Wrap(errSample, "sync", ""), "sync: disk is full"},
		"with a subject":   {Wrap(errSample, "dial", "10.0.0.1:1"), "dial (peer 10.0.0.1:1): disk is full"},
		"nested":           {Wrap(Wrap(errSample, "sync", ""), "dial", "10.0.0.1:1"), "dial (peer 10.0.0.1:1): sync: disk is full"},
		"formatted":        {New("sync", "", "%d bytes left", 7), "sync: 7 bytes left"},
		"wraps a sentinel": {New("sync", "", "%w: %d bytes left", errSample, 7), "sync: disk is full: 7 bytes left"},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.err.Error(), c.want)
		})
	}
}

func TestWrap_KeepsNil(t *testing.T) {
	is.New(t).NoErr(Wrap(nil, "sync", "10.0.0.1:1"))
}

// errors.Is and errors.As must work through several layers and their source locations.
func TestWrap_IsTransparentToIsAndAs(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("start: %w", Wrap(New("sync", "10.0.0.1:1", "%w", errSample), "commit", ""))
	is.True(errors.Is(err, errSample))
	var opErr *OpError
	is.True(errors.As(err, &opErr))
	is.Equal(opErr.Step, "commit") // the outermost layer is found first
	is.True(errors.As(opErr.Err, &opErr))
	is.Equal(opErr.Step, "sync")
	is.Equal(opErr.Subject, "10.0.0.1:1")
}

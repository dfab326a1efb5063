package scaletest

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNewLag_Percentiles(t *testing.T) {
	is := is.New(t)
	is.Equal(newLag(nil), Lag{})
	var durations []time.Duration
	for n := range 200 {
		durations = append(durations, time.Duration(200-n)*time.Millisecond)
	}
	is.Equal(newLag(durations), Lag{P50: 101, P99: 199, Max: 200})
}

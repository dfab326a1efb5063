package scaletest

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNewLag_Percentiles(t *testing.T) {
	is := is.New(t)
	is.Equal(newLag(nil), Lag{})
	var list []time.Duration
	for n := range 200 {
		list = append(list, time.Duration(200-n)*time.Millisecond)
	}
	is.Equal(newLag(list), Lag{P50: 101, P99: 199, Max: 200})
}

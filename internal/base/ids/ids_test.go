package ids

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBallot_OrdersByCounterThenProposer(t *testing.T) {
	is := is.New(t)
	ordered := []Ballot{{}, {0, 9}, {1, 0}, {1, 1}, {2, 0}}
	for i, a := range ordered {
		for j, b := range ordered {
			is.Equal(a.Less(b), i < j)
			is.Equal(a.Max(b), ordered[max(i, j)])
		}
		is.Equal(a.IsZero(), i == 0)
	}
}

func TestBallot_String(t *testing.T) {
	is.New(t).Equal(Ballot{Counter: 12, Proposer: 255}.String(), "12.ff")
}

func TestTime_AddAndSub(t *testing.T) {
	is := is.New(t)
	is.Equal(Time(5).Add(time.Second), Time(5+1e9))
	is.Equal(Time(5).Add(time.Second).Sub(5), time.Second)
}

package store

import (
	"testing"

	"github.com/matryer/is"
)

func TestLostRecordGuard_WindowBeginsWithEachLoss(t *testing.T) {
	is := is.New(t)
	var g lostRecordGuard
	is.True(!g.mayHaveLostRecords(testTime, 0))
	is.True(g.mayHaveLostRecords(testTime, 1))
	is.True(g.mayHaveLostRecords(testTime.Add(recordLossWindow-1), 1))
	end := testTime.Add(recordLossWindow)
	is.True(!g.mayHaveLostRecords(end, 1))
	is.True(g.mayHaveLostRecords(end, 2))
	is.True(!g.mayHaveLostRecords(end.Add(recordLossWindow), 2))
}

package consensus

// initialRoundID is the number below a run's first round. An answer names its
// question by the round's number alone, and may wait in its sender's queue
// while the one who asked restarts; so each run counts from a place of its
// own, far from that of any other. by names the run, and is never used twice.
//
// The mixing is the finalizer of splitmix64: a bijection, so two runs never
// begin at the same place, and they meet only where one of them counts on
// through the 2^64 divided among all of them.
func initialRoundID(proposerID uint64) uint64 {
	proposerID = (proposerID ^ proposerID>>30) * 0xbf58476d1ce4e5b9
	proposerID = (proposerID ^ proposerID>>27) * 0x94d049bb133111eb
	return proposerID ^ proposerID>>31
}

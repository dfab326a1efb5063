package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// outlier judges a target by what requests showed, not by what its page says:
// one that fails a part of them is left alone, for longer each time, while
// there are others. It is left alone and no more, so that however many fail,
// what a service still bears is used.
type outlier struct {
	share float64
	count int
	spells
}

// spells count how often in a row the target was left alone.
type spells struct {
	in    int
	until ids.Time
}

const (
	// weigh is how much the newest answer counts for.
	weigh = 0.15
	// failing is the share of failures from which a target is left alone, once
	// there were a few answers.
	failing    = 0.25
	fewAnswers = 4
	// manyAnswers are enough to take a target for well again.
	manyAnswers = 20
	// spell is how long it is left alone at first; spellMost bounds the doubling.
	spell     = 2 * time.Second
	spellMost = 3
)

// seen notes an answer and gives until when the target is left alone.
func (o *outlier) seen(now ids.Time, bad bool) ids.Time {
	x := 0.0
	if bad {
		x = 1
	}
	o.share += weigh * (x - o.share)
	o.count++
	if o.count < fewAnswers || o.share < failing || !bad || now < o.until {
		if !bad && o.count >= manyAnswers && o.share < failing/4 {
			o.in = 0
		}
		return 0
	}
	o.until = now.Add(spell << min(o.in, spellMost))
	o.in++
	// What it does next is judged anew.
	o.share, o.count = 0, 0
	return o.until
}

// Command standins plays the cases of the review against the project's own programs, which it
// starts as separate processes on loopback addresses. It exits with 1 if a rule was broken, with
// 0 if it held and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	cases := map[string]func(program string, trouble bool, r *record) int{
		"unknown-departure": unknownDeparture,
		"second-loss":       secondLoss,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE PROGRAM RECORD")
		os.Exit(exitCouldNot)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNot)
	}
	r := &record{file: file, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", os.Args[1], trouble)
	code := cases[os.Args[1]](os.Args[2], trouble, r)
	r.line("exit %d", code)
	_ = file.Close()
	os.Exit(code)
}

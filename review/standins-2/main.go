package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxAttempts is the max_attempts of all routes, as in the examples of the wire.
const maxAttempts = 2

// limit ends a run that hangs, as one that couldn't run.
const limit = 110 * time.Second

func errorf(format string, args ...any) error { return fmt.Errorf(format, args...) }

var cases = map[string]struct {
	fronts int
	run    func(f *fleet, trouble bool) (int, error)
}{
	"extra-answers": {3, extraAnswers},
	"resent-change": {3, resentChange},
	"slow-reader":   {3, slowReader},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	f, err := newFleet(root, rec, cases[name].fronts)
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v, machines in %s0/24", name, trouble, f.subnet)
	result := make(chan int, 1)
	go func() {
		code, err := cases[name].run(f, trouble)
		if err != nil {
			rec.say("could not run: %v", err)
		}
		result <- code
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-result:
		rec.say("exit %d", code)
		return code
	case <-interrupted:
	case <-time.After(limit):
	}
	rec.say("could not run: out of time or interrupted")
	return 2
}

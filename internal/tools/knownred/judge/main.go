// Command judge runs a go test command, prints its output, and fails unless exactly the listed tests
// failed.
//
// Usage: judge LIST COMMAND
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"

	"dunlinwell/internal/tools/knownred"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: judge LIST COMMAND")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "judge: "+err.Error())
		os.Exit(1)
	}
}

// run runs a command and evaluates it by the list in a file.
func run(listPath, command string) error {
	list, err := readList(listPath)
	if err != nil {
		return err
	}
	judge := knownred.New(os.Stdout)
	exit, err := follow(judge, command)
	if err != nil {
		return err
	}
	verdict := judge.Verdict(list, exit)
	for _, line := range verdict.KnownFailures {
		fmt.Println("known red: " + line)
	}
	for _, line := range verdict.Problems {
		fmt.Println("problem: " + line)
	}
	if len(verdict.Problems) > 0 {
		return fmt.Errorf("%d problems with the test run", len(verdict.Problems))
	}
	return nil
}

// readList reads a list. A missing file is an empty list.
func readList(path string) ([]knownred.Entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	list, err := knownred.Read(string(raw))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// follow runs a command with the flag -json, passes its events to judge and returns its exit code,
// or -1 if a signal ended it.
func follow(judge *knownred.Judge, command string) (exit int, err error) {
	cmd := exec.Command("bash", "-c", command+" -json")
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	if err := judge.ReadEvents(events); err != nil {
		return 0, err
	}
	// Wait returns an error for a failed run, which the exit code covers.
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode(), nil
}

// Command judge runs a go test command, prints what it prints, and fails on
// every red test but those listed as known, and on those listed that aren't red.
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

func run(list, command string) error {
	raw, err := os.ReadFile(list)
	// No list is an empty one.
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	known, err := knownred.Read(string(raw))
	if err != nil {
		return fmt.Errorf("%s: %w", list, err)
	}
	cmd := exec.Command("bash", "-c", command+" -json")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	j := knownred.New(os.Stdout)
	if err := j.Follow(out); err != nil {
		return err
	}
	// A red run ends with 1; the judge weighs the code, and any other failure
	// to run leaves it at -1.
	_ = cmd.Wait()
	v := j.Verdict(known, cmd.ProcessState.ExitCode())
	for _, line := range v.KnownFailures {
		fmt.Println("known red: " + line)
	}
	for _, line := range v.Objections {
		fmt.Println("against: " + line)
	}
	if len(v.Objections) > 0 {
		return fmt.Errorf("%d against the run", len(v.Objections))
	}
	return nil
}

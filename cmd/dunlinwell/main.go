// Command dunlinwell is the operators' command line.
package main

import (
	"os"

	"dunlinwell/internal/app/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }

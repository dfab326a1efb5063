// Command dunlinwell is the command line for operators.
package main

import (
	"os"

	"dunlinwell/internal/app/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }

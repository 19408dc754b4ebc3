// Command crocus-standin runs stand-ins of the platform and of endpoints, for trials and tests.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Standin(os.Args[1:])) }

// Command crocus-gate runs an instance on the users' platform.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Gate(os.Args[1:])) }

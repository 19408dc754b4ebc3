// Command crocus is the operators' tool for rollouts, drains and jobs.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Crocus(os.Args[1:])) }

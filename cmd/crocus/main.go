// Command crocus is the operators' command.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Crocus(os.Args[1:])) }

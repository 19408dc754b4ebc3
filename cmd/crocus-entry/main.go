// Command crocus-entry runs an entry instance.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Entry(os.Args[1:])) }

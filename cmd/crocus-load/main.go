// Command crocus-load puts an open-loop load on running instances.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Load(os.Args[1:])) }

// Command crocus-load submits an open-loop load to running instances and reports
// their response times.
package main

import (
	"os"

	"crocusseam/pkg/cmds"
)

func main() { os.Exit(cmds.Load(os.Args[1:])) }

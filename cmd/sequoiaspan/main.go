// Command sequoiaspan runs an entry instance.
package main

import (
	"os"

	"github.com/sequoiaspan/sequoiaspan/command"
)

func main() { os.Exit(command.Daemon()) }

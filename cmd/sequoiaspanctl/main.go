// Command sequoiaspanctl is the operators' command.
package main

import (
	"os"

	"github.com/sequoiaspan/sequoiaspan/command"
)

func main() { os.Exit(command.Control()) }

// Command sequoiaspanctl is the operators' command-line tool: it validates and publishes rules and shows the fleet's status.
package main

import (
	"os"

	"github.com/sequoiaspan/sequoiaspan/command"
)

func main() { os.Exit(command.Control()) }

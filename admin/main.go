// Command admin is the command line of the operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dogwoodsill.org/admin/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cmds.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// Command admin is the command line with which operators configure and inspect a
// deployment.
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

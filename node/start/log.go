package start

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/setup"
)

// flushTimeout bounds the wait for buffered log lines when the process ends.
const flushTimeout = 200 * time.Millisecond

// newLogger returns the logger of a node.
func newLogger(cfg setup.Logging, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "node", Level: hclog.LevelFromString(cfg.Level), JSONFormat: cfg.JSON, Output: out,
	})
}

// flush writes the buffered log lines when the process ends.
func flush(w *lines.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := w.Close(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "buffered log lines not written:", err)
	}
}

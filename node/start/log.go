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

// flushTime bounds the wait for the last log lines at the end of the process.
const flushTime = 200 * time.Millisecond

// newLogger returns the logger of a node.
func newLogger(cfg setup.Logging, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "node", Level: hclog.LevelFromString(cfg.Level), JSONFormat: cfg.JSON, Output: out,
	})
}

// flush writes the log lines that wait, at the end of the process.
func flush(w *lines.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	if err := w.Close(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "last log lines not written:", err)
	}
}

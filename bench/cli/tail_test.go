package cli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodsill.org/admin/cmds"
)

// Guards against a tail that reports a repeated record, or one whose outcome is
// unknown, as accepted, or that stops at a record that can't be decoded.
func TestTailOutcomes(t *testing.T) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 1 --burst 1")
	for _, data := range []string{e.records(), "{}"} {
		_, err := e.client().Append(t.Context(), "config", []byte(data))
		assert.NilError(t, err)
	}
	out := e.ok("log tail")
	for _, text := range []string{"0 accepted: set customer theatre", "1 repeat: set customer theatre", "2 invalid: "} {
		assert.Assert(t, cmp.Contains(out, text))
	}
	e.log.Expire("config", 1)
	assert.Assert(t, cmp.Contains(e.ok("log tail"), "1 unknown: set customer theatre"))
}

// notifyingWriter is a buffer that sends on a channel after each write.
type notifyingWriter struct {
	bytes.Buffer
	wrote chan struct{}
}

func (n *notifyingWriter) Write(p []byte) (int, error) {
	defer func() { n.wrote <- struct{}{} }()
	return n.Buffer.Write(p)
}

// Guards against a followed tail that doesn't print new records, doesn't end when
// it is cancelled, or ends because of an outage of the log.
func TestTailFollow(t *testing.T) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 1 --burst 1")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out, errOut := &notifyingWriter{wrote: make(chan struct{}, 64)}, &notifyingWriter{wrote: make(chan struct{}, 64)}
	status := make(chan int, 1)
	go func() {
		status <- cmds.Run(ctx, []string{"log", "tail", "--follow"}, out, errOut,
			cmds.WithEnv(e.getenv), cmds.WithHTTPClient(&http.Client{}))
	}()
	awaitWrite := func(n *notifyingWriter) {
		t.Helper()
		select {
		case <-n.wrote:
		case s := <-status:
			t.Fatalf("log tail ended with status %d", s)
		}
	}
	awaitWrite(out)
	e.log.SetDown(true)
	awaitWrite(errOut)
	e.log.SetDown(false)
	e.ok("customer set theatre --rate 2")
	awaitWrite(out)
	cancel()
	assert.Equal(t, <-status, cmds.ExitDone)
	text, err := io.ReadAll(&out.Buffer)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(text), "accepted: set customer theatre"), 2)
}

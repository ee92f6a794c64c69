package start

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// childVariable is set in the environment of the process that TestRepeatedSignal starts.
const childVariable = "DOGWOODSILL_TEST_CHILD"

// shutdownTime is how long the shutdown of that process takes.
const shutdownTime = 300 * time.Millisecond

// TestRepeatedSignal guards against a shutdown that a second SIGTERM cuts short.
func TestRepeatedSignal(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		ctx, ignoreMore := notifyStop(t.Context())
		fmt.Println("started")
		<-ctx.Done()
		ignoreMore()
		fmt.Println("stopping")
		time.Sleep(shutdownTime)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^TestRepeatedSignal$", "-test.v")
	cmd.Env = append(os.Environ(), childVariable+"=1")
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		switch lines.Text() {
		case "started":
			assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		case "stopping":
			assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
			assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		}
	}
	assert.NilError(t, lines.Err())
	assert.NilError(t, cmd.Wait())
}

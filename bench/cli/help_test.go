package cli

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"

	"dogwoodsill.org/admin/cmds"
)

// Guards against commands without help or examples, and against undocumented exit
// statuses.
func TestHelp(t *testing.T) {
	e := newEnv(t)
	golden.Assert(t, strings.ReplaceAll(e.ok("--help"), e.log.URL(), "URL"), "help.golden")
	for _, line := range []string{
		"apply", "customer create", "customer set", "customer list", "customer delete", "key issue", "key withdraw", "key list",
		"service set", "service list", "service delete", "route set", "route list", "route delete",
		"importance set", "importance list", "importance delete", "fleet set", "fleet list", "status", "explain /orders", "report burn", "log tail",
	} {
		assert.Assert(t, cmp.Contains(e.ok(line+" --help"), "Examples:\n  admin "+line), line)
	}
}

// Guards against shell completion that doesn't offer the commands or the names of
// objects, or that fails while the log is down.
func TestCompletion(t *testing.T) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 1 --burst 1")
	assert.Assert(t, cmp.Contains(e.ok("__complete customer set th"), "theatre\n"))
	assert.Assert(t, !strings.Contains(e.ok("__complete customer delete x"), "theatre"))
	assert.Assert(t, cmp.Contains(e.ok("completion bash"), "__start_admin"))
	e.log.SetDown(true)
	assert.Equal(t, e.run("__complete --timeout 50ms customer set th").status, cmds.ExitDone)
}

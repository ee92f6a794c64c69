package cli

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodsill.org/admin/cmds"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/keys"
	"dogwoodsill.org/core/model"
)

// keyPattern matches an API key in the output of a command.
var keyPattern = regexp.MustCompile(keys.Prefix + `[A-Za-z0-9_-]+`)

// Guards against a command that publishes a different change than it prints, or
// that reports a wrong outcome or exit status. Each step depends on the earlier
// ones.
func TestCommands(t *testing.T) {
	e := newEnv(t)
	for _, step := range []struct {
		args   []string
		status int
		out    string
	}{
		{[]string{"customer", "create", "theatre", "--rate", "300", "--burst", "600", "--label", "size=large"}, 0, "accepted: customer theatre, revision 1 "},
		{[]string{"customer", "create", "theatre", "--rate", "1", "--burst", "1"}, cmds.ExitRejected, "rejected: customer theatre, base 0 against revision 1: "},
		{[]string{"customer", "set", "theatre", "--rate", "400", "--label", "size", "--label", "tier=gold"}, 0, "accepted: customer theatre, revision 3 "},
		{[]string{"customer", "set", "theatre", "--rate", "400"}, 0, "unchanged: customer theatre, revision 3"},
		{[]string{"customer", "set", "theatre", "--rate", "1", "--base", "1"}, cmds.ExitRejected, "base 1 against revision 3"},
		{[]string{"customer", "list"}, 0, "theatre  400   600    tier=gold  3"},
		{[]string{"service", "set", "archive", "--slo", "objective=0.99,latencyMs=500", "--slo", "objective=0.999,importance=0"}, 0, "accepted"},
		{[]string{"service", "list"}, 0, "0.99 within 500 ms; 0.999 at importance 0"},
		{[]string{"route", "set", "runs", "--pattern", "GET /runs/{id}", "--service", "archive", "--label", "class=lookup"}, 0, "accepted"},
		{[]string{"route", "set", "runs", "--timeout-ms", "700"}, 0, "accepted"},
		{[]string{"route", "list"}, 0, "timeout 700 ms"},
		{[]string{"importance", "set", "lookups", "--order", "3", "--routes", "class in (lookup)", "--level", "5"}, 0, "accepted"},
		{[]string{"importance", "list"}, 0, "class in (lookup)"},
		{[]string{"fleet", "set", "--zone", "bole=0.5", "--zone", "kirkos=0.5"}, 0, "accepted"},
		{[]string{"fleet", "set", "--zone", "arada=0.1"}, cmds.ExitUsage, ""},
		{[]string{"fleet", "set", "--zone", "bole=0.4", "--zone", "arada=0.1"}, cmds.ExitRejected, "lower the weights of the other zones"},
		{[]string{"fleet", "set", "--zone", "bole=0.4"}, 0, "accepted"},
		{[]string{"fleet", "list"}, 0, "bole    0.4"},
		{[]string{"importance", "delete", "lookups"}, 0, "accepted"},
		{[]string{"log", "tail", "-n", "1"}, 0, "accepted: delete importance lookups"},
		{[]string{"log", "tail"}, 0, "1 rejected: set customer theatre, base 0"},
		{[]string{"customer", "list", "--output", "json"}, 0, `"tier": "gold"`},
	} {
		r := e.run("", step.args...)
		assert.Equal(t, r.status, step.status, "%v: %s %s", step.args, r.out, r.err)
		assert.Assert(t, cmp.Contains(r.out, step.out), "%v", step.args)
	}
	v := e.view()
	assert.DeepEqual(t, v.Customers["theatre"], model.Customer{Rate: 400, Burst: 600, Labels: map[string]string{"tier": "gold"}})
	assert.DeepEqual(t, v.Routes["runs"], model.Route{
		Pattern: "GET /runs/{id}", Service: "archive", Labels: map[string]string{"class": "lookup"}, TimeoutMS: 700,
	})
	assert.Equal(t, len(v.Importance), 0)
}

// Guards against invalid input that is published, or whose error message doesn't
// name the problem.
func TestBadInput(t *testing.T) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 10 --burst 10")
	before := e.log.Appends()
	for _, test := range []struct{ line, text string }{
		{"customer create", "accepts 1 arg"},
		{"customer create x --rate 10", "burst must be at least 1"},
		{"customer create x --rate NaN --burst 1", "NaN"},
		{"customer create x --rate ten --burst 1", "--rate"},
		{"customer set ghost --rate 1", `there is no customer "ghost"`},
		{"customer delete ghost", `there is no customer "ghost"`},
		{"customer set theatre --label =x", "--label needs a name"},
		{"customer set theatre --rate 5 --wait", "--wait needs nodes"},
		{"customer set theatre --rate 5 --id \x01", "--id"},
		{"customer set theatre --rate 5 --log ftp://x", "not an http or https URL"},
		{"customer set theatre --rate 5 --timeout 0s", "--timeout"},
		{"customer set theatre --rate 5 --nodes nowhere", "not an address with a port"},
		{"customer set theatre --rate 5 --output xml", "table or json"},
		{"customer set theatre --rate 5 --log=", "--log or DOGWOODSILL_LOG"},
		{"service set archive --slo objective=2", "objective must lie between 0 and 1"},
		{"service set archive --slo speed=2", "the names are objective"},
		{"route set runs --pattern {x --service a", "pattern"},
		{"importance set i --level 9", "level must lie"},
		{"importance set i --routes a===b", "found"},
		{"fleet set", "at least one zone"},
		{"fleet set --zone bole=x", "not a number"},
		{"fleet set --zone bole=2", "add up to more than 1"},
		{"key issue ghost", `there is no customer "ghost"`},
		{"key withdraw ghost", `there is no key with identifier "ghost"`},
		{"apply", "-f"},
		{"apply -f /nonexistent.toml", "no such file"},
		{"log tail -n -1", "-n"},
		{"status", "--nodes or DOGWOODSILL_NODES"},
		{"key", "needs a command"},
		{"frobnicate", "unknown command"},
	} {
		r := e.run(test.line)
		assert.Equal(t, r.status, cmds.ExitUsage, "%s: %s", test.line, r.out)
		assert.Assert(t, cmp.Contains(r.err, test.text), "%s", test.line)
	}
	assert.Equal(t, e.log.Appends(), before)
}

// Guards against a lost response to an append that is reported as a failure, or
// that makes the command append the change again.
func TestLostResponse(t *testing.T) {
	for _, line := range []string{"customer create theatre --rate 1 --burst 1", "fleet set --zone bole=1"} {
		e := newEnv(t)
		e.log.LoseAnswers(1)
		assert.Assert(t, cmp.Contains(e.ok(line), "accepted"))
		assert.Equal(t, e.log.Appends(), 1)
	}
}

// Guards against concurrent changes of an object by two operators that are both
// reported as accepted.
func TestRacingOperators(t *testing.T) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 1 --burst 1")
	e.beforeAppend = func() { e.ok("customer set theatre --rate 2") }
	r := e.run("customer set theatre --rate 3")
	assert.Equal(t, r.status, cmds.ExitRejected)
	assert.Assert(t, cmp.Contains(r.out, "base 1 against revision 2"))
	assert.Equal(t, e.view().Customers["theatre"].Rate, 2.0)
	e.ok("customer set theatre --rate 3")

	site := e.file("[customers.a]\nrate = 1\nburst = 1\n[customers.theatre]\nrate = 9\nburst = 1\n[customers.z]\nrate = 1\nburst = 1\n")
	e.beforeAppend = func() { e.ok("customer set theatre --rate 4") }
	r = e.run("apply -f " + site)
	assert.Equal(t, r.status, cmds.ExitRejected)
	assert.Assert(t, cmp.Contains(r.out, "accepted: customer a"))
	assert.Assert(t, cmp.Contains(r.out, "rejected: customer theatre, base 4 against revision 5"))
	assert.Assert(t, cmp.Contains(r.out, "not sent: customer z"))
}

// Guards against a command that is repeated after an unknown outcome and then
// takes effect twice, loses the change, or changes more than the first run.
func TestRepeatAfterOutage(t *testing.T) {
	for _, line := range []string{
		"customer create school --rate 1 --burst 1", "customer set theatre --rate 7 --label a=b", "customer delete theatre",
		"route set r --pattern /x --service s", "fleet set --zone bole=1", "key issue theatre",
	} {
		for _, lostRequest := range []bool{false, true} {
			t.Run(fmt.Sprint(line, lostRequest), func(t *testing.T) {
				t.Parallel()
				repeatAfterOutage(t, line, lostRequest)
			})
		}
	}
}

// repeatAfterOutage runs a command during whose append the log goes down, before
// the request if lostRequest is true and before the response otherwise, and
// repeats it with the same identifier.
func repeatAfterOutage(t *testing.T, line string, lostRequest bool) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 5 --burst 5")
	e.startOutageAtAppend(lostRequest)
	r := e.run(line + " --id ticket-1 --timeout 2s")
	assert.Equal(t, r.status, cmds.ExitUnknown, r.out)
	assert.Assert(t, cmp.Contains(r.out, "repeat with --id ticket-1"))
	r = e.run(line + " --id ticket-1 --timeout 100ms")
	assert.Equal(t, r.status, cmds.ExitUnknown, "still down")
	e.log.SetDown(false)
	appends := e.log.Appends()
	if lostRequest {
		assert.Equal(t, appends, 1)
		appends++
	}
	for range 2 {
		assert.Assert(t, cmp.Contains(e.ok(line+" --id ticket-1"), "accepted"))
		assert.Equal(t, e.log.Appends(), appends)
	}
	assert.Equal(t, strings.Count(e.records(), `"ticket-1"`), 1)
}

// Guards against an outage that is reported as an unknown outcome although no
// change was sent, and against read commands that fail without an error message.
func TestOutage(t *testing.T) {
	e := newEnv(t)
	e.log.SetDown(true)
	for _, line := range []string{"customer set x --rate 1", "customer list", "log tail", "key list"} {
		r := e.run(line + " --timeout 100ms")
		assert.Equal(t, r.status, cmds.ExitUnreachable, line)
		assert.Assert(t, cmp.Contains(r.err, "outage"), line)
	}
}

// Guards against a change that is silently ignored because its identifier belongs
// to another change.
func TestIdentifierOfAnotherChange(t *testing.T) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 5 --burst 5 --id t1")
	e.ok("customer create theatre --rate 5 --burst 5 --id t1")
	e.ok("customer set theatre --burst 6 --id t2")
	e.ok("customer set theatre --rate 6")
	e.ok("customer set theatre --burst 6 --id t2")
	for _, line := range []string{
		"customer create theatre --rate 6 --burst 5 --id t1", "customer create school --rate 5 --burst 5 --id t1",
		"customer set theatre --burst 7 --id t2", "customer delete theatre --id t2", "key issue theatre --id t1",
		"fleet set --zone bole=1 --id t1",
	} {
		r := e.run(line)
		assert.Equal(t, r.status, cmds.ExitRejected, line)
		assert.Assert(t, cmp.Contains(r.err, "belongs to another change"), line)
		assert.Assert(t, !keyPattern.MatchString(r.out+r.err))
	}
	assert.DeepEqual(t, e.view().Customers, map[string]model.Customer{"theatre": {Rate: 6, Burst: 6}})
}

// Guards against an API key that is printed more than once, is written to the log,
// or appears in an error message, and against a withdrawn key that stays valid.
func TestKey(t *testing.T) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 5 --burst 5")
	out := e.ok("key issue theatre --id t1")
	key := keyPattern.FindString(out)
	assert.Equal(t, strings.Count(out, key), 1)
	v := e.view()
	id := v.Digests[keys.Digest(key)]
	assert.Assert(t, v.ValidKey(id))

	for _, line := range []string{
		"key issue theatre --id t1", "key list", "key list --output json", "log tail", "log tail --output json",
		"key withdraw " + key, "customer create " + key + " --rate 1 --burst 1", key, "--" + key, "log tail --output " + key,
	} {
		r := e.run(line)
		assert.Assert(t, !keyPattern.MatchString(r.out+r.err), line)
	}
	assert.Assert(t, !strings.Contains(e.records(), key))
	assert.Equal(t, e.log.Appends(), 2)
	r := e.run("apply -f " + e.file("[customers.a]\nrate = 1\nburst = 1\nlabels = { note = \""+key+"\" }\n"))
	assert.Equal(t, r.status, cmds.ExitUsage)
	assert.Assert(t, cmp.Contains(r.err, "site.toml:4: "))
	assert.Assert(t, !keyPattern.MatchString(r.out+r.err))
	r = e.run("customer delete theatre --base 9")
	assert.Assert(t, cmp.Contains(r.err, "1 keys of customer theatre are not withdrawn"))

	assert.Assert(t, cmp.Contains(e.ok("key list --customer theatre"), id+"  theatre   valid"))
	e.ok("key withdraw " + id)
	assert.Assert(t, cmp.Contains(e.ok("key withdraw "+id), "unchanged"))
	assert.Assert(t, cmp.Contains(e.ok("key list"), "revoked"))
	assert.Assert(t, !e.view().ValidKey(id))
}

// Guards against read commands that print an API key that another program wrote
// to the log.
func TestKeyOfOthers(t *testing.T) {
	e := newEnv(t)
	key := keys.New()
	for _, body := range []string{
		`{"change":{"id":"a","kind":"customer","name":"` + key + `","base":0,"body":{"rate":1,"burst":1}}}`,
		`{"change":{"id":"b","kind":"importance","name":"i","base":0,"body":{"order":1,"level":1,"routes":"` + key + `=a"}}}`,
		`{"change":{"id":"c","kind":"bad","name":"` + key + `"}}`,
	} {
		_, err := e.client().Append(t.Context(), "config", []byte(body))
		assert.NilError(t, err)
	}
	for _, line := range []string{"customer list", "importance list", "log tail", "apply --prune --dry-run -f " + e.file(smallSite)} {
		for _, output := range []string{"table", "json"} {
			r := e.run(line + " --output " + output)
			assert.Equal(t, r.status, 0, r.err)
			assert.Assert(t, !strings.Contains(r.out+r.err, key), "%s: %s", line, r.out)
		}
	}
}

// Guards against a key that is printed by a repeated command although it is not
// the one in effect. The outcome of the first run was unknown: its request either
// arrived or was lost.
func TestKeyAfterUnknownOutcome(t *testing.T) {
	t.Parallel()
	for _, arrived := range []bool{true, false} {
		e := newEnv(t)
		e.ok("customer create theatre --rate 5 --burst 5")
		e.startOutageAtAppend(!arrived)
		first := keyPattern.FindString(e.run("key issue theatre --id t1 --timeout 2s").out)
		assert.Assert(t, first != "")
		e.log.SetDown(false)
		second := keyPattern.FindString(e.ok("key issue theatre --id t1"))
		valid := func(key string) bool { v := e.view(); return v.ValidKey(v.Digests[keys.Digest(key)]) }
		assert.Equal(t, valid(first), arrived)
		assert.Equal(t, second == "", arrived)
		assert.Equal(t, second != "" && valid(second), !arrived)
	}
}

// Guards against JSON output that can't be decoded.
func TestJSON(t *testing.T) {
	e := newEnv(t)
	var doc struct {
		Changes []struct {
			Status   string
			Revision uint64
		}
	}
	r := e.run("customer create theatre --rate 5 --burst 5 --output json")
	assert.NilError(t, json.Unmarshal([]byte(r.out), &doc))
	assert.Equal(t, fmt.Sprint(doc.Changes), "[{accepted 1}]")
	r = e.run("customer create theatre --rate 5 --burst 5 --output json")
	assert.NilError(t, json.Unmarshal([]byte(r.out), &doc))
	assert.Equal(t, fmt.Sprint(doc.Changes), "[{rejected 1}]")
}

// Guards against a repeated change that is not recognised after its record expired
// from the log.
func TestRepeatAfterExpiry(t *testing.T) {
	e := newEnv(t)
	e.ok("customer create theatre --rate 5 --burst 5 --id t1")
	state := config.NewState()
	state.Apply(0, []byte(e.records()))
	parts, err := state.Snapshot().Encode("s1")
	assert.NilError(t, err)
	_, err = e.client().Append(t.Context(), "config", parts...)
	assert.NilError(t, err)
	e.log.Expire("config", 1)
	before := e.log.Appends()
	assert.Assert(t, cmp.Contains(e.ok("customer create theatre --rate 5 --burst 5 --id t1"), "accepted: customer theatre, revision 1 "))
	assert.Equal(t, e.log.Appends(), before)
	assert.Assert(t, cmp.Contains(e.ok("log tail"), "1 snapshot of offset 1"))
}

package cli

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodsill.org/admin/cmds"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/model"
)

// smallSite is a site file with four objects.
const smallSite = `
[customers.theatre]
rate = 10
burst = 20
[services.archive]
[routes.runs]
pattern = "GET /runs/{id}"
service = "archive"
[importance.critical]
order = 1
level = 0
`

// Guards against wrong differences in the output, a dry run that publishes changes,
// a prune that deletes too much, and an apply that finds differences again after
// it published them.
func TestApply(t *testing.T) {
	e := newEnv(t)
	file := e.file(smallSite)
	out := e.ok("apply --dry-run -f " + file)
	assert.Equal(t, strings.Count(out, "\n+ ")+1, 4, out)
	assert.Equal(t, e.log.Appends(), 0)
	out = e.ok("apply -f " + file)
	assert.Assert(t, strings.Index(out, "+ customer theatre") < strings.Index(out, "accepted: customer theatre"))
	assert.Assert(t, cmp.Contains(e.ok("apply -f "+file), "no difference"))
	assert.Equal(t, e.log.Appends(), 4)

	key := keyPattern.FindString(e.ok("key issue theatre"))
	e.ok("customer set theatre --rate 11 --label a=b")
	e.ok("customer create school --rate 1 --burst 1")
	e.ok("route set extra --pattern /extra --service archive")
	e.ok("fleet set --zone bole=1")
	out = e.ok("apply --dry-run -f " + file)
	assert.Assert(t, cmp.Contains(out, "~ customer theatre\n    - labels = {\"a\":\"b\"}\n    ~ rate = 11 -> 10\n"))
	assert.Assert(t, cmp.Contains(out, "2 objects that the file doesn't name are kept"))
	assert.Assert(t, cmp.Contains(e.ok("apply --dry-run --prune -f "+file), "- route extra\n- customer school\n"))
	e.ok("apply --prune -f " + file)
	v := e.view()
	assert.DeepEqual(t, v.Customers, map[string]model.Customer{"theatre": {Rate: 10, Burst: 20}})
	assert.Equal(t, len(v.Routes), 1)
	assert.Equal(t, len(v.Fleet.Zones), 1)
	assert.Equal(t, len(v.Keys), 1)
	assert.Assert(t, key != "" && !strings.Contains(out, key))
}

// Guards against an apply that can't be repeated after an unknown outcome, or that
// ignores an edit of the file because the identifier was used before.
func TestApplyRepeat(t *testing.T) {
	t.Parallel()
	e := newEnv(t)
	file := e.file(smallSite)
	e.startOutageAtAppend(false)
	r := e.run("apply --id release-1 --timeout 2s -f " + file)
	assert.Equal(t, r.status, cmds.ExitUnknown)
	assert.Assert(t, cmp.Contains(r.out, "unknown: customer theatre"))
	assert.Assert(t, cmp.Contains(r.out, "not sent: importance critical"))
	e.log.SetDown(false)
	e.ok("apply --id release-1 -f " + file)
	assert.Equal(t, e.log.Appends(), 4)
	r = e.run("apply --id release-1 -f " + e.file(strings.Replace(smallSite, "rate = 10", "rate = 12", 1)))
	assert.Equal(t, r.status, cmds.ExitRejected)
	assert.Assert(t, cmp.Contains(r.err, "belongs to another change"))
	assert.Equal(t, e.log.Appends(), 4)
}

// Guards against a malformed file that is published in whole or in part, and
// against an error message without the line and key of the problem.
func TestMalformedSite(t *testing.T) {
	e := newEnv(t)
	for _, test := range []struct{ content, want string }{
		{"[customers.a]\nrate = 1\nburst = 1\nrat = 2\n", "site.toml:4: key customers.a.rat: unknown key"},
		{"[keys.a]\ndigest = 'x'\n", "site.toml:1: key keys.a: unknown key"},
		{"[customers.a]\nrate = 'x'\nburst = 1\n", "site.toml:2: key customers.a.rate"},
		{"[customers.a]\nrate = 1\nburst = 1.5\n", "site.toml:3: key customers.a.burst"},
		{"\n[customers.a]\nburst = 1\n", "site.toml:2: key customers.a.rate: rate must be above 0"},
		{"[customers.a]\nrate = nan\nburst = 1\n", "site.toml:1: key customers.a: "},
		{"[customers.a]\nrate = -1\nburst = 1\n", "site.toml:2: key customers.a.rate"},
		{"[customers.a]\nrate = 1\nburst = 1\n[customers.a]\n", "site.toml:4: key "},
		{"[customers.a]\nrate = 1\nburst = ", "site.toml:3: key "},
		{"[services.a]\nslos = [\n {objective = 1.5}]\n", "site.toml:2: key services.a.slos"},
		{"[services.a]\n[routes.r]\npattern = 'GET /{'\nservice = 'a'\n", "site.toml:3: key routes.r.pattern"},
		{"[services.a]\n[routes.r]\npattern = '/x'\nservice = 'a'\ntimeoutMs = -1\n", "site.toml:5: key routes.r.timeoutMs"},
		{"[services.a]\n[routes.r]\npattern = '/x'\nservice = 'a'\nopen = true\nopenRate = 1\n", "site.toml:2: key routes.r.openBurst"},
		{"[routes.r]\npattern = '/x'\nservice = 'a'\n", `site.toml:3: key routes.r.service: there is no service "a"`},
		{"[services.a]\n[routes.r]\npattern = '/x'\nservice = 'a'\n[routes.s]\npattern = '/x'\nservice = 'a'\n", "site.toml:6: key routes.s.pattern"},
		{"[importance.i]\nlevel = 1\nroutes = 'a in b'\n", "site.toml:3: key importance.i.routes"},
		{"[importance.i]\nlevel = 8\n", "site.toml:2: key importance.i.level"},
		{"[fleet]\nzones = [{name='a', weight=0.9}, {name='b', weight=0.2}]\n", "site.toml:2: key fleet.zones"},
	} {
		for _, flag := range []string{"", "--dry-run "} {
			r := e.run("apply " + flag + "-f " + e.file(test.content))
			assert.Equal(t, r.status, cmds.ExitUsage, "%s\n%s", test.content, r.out)
			assert.Assert(t, cmp.Contains(r.err, test.want), test.content)
		}
	}
	assert.Equal(t, e.log.Appends(), 0)
}

// Guards against example files that are malformed or differ from the deployments
// in package site.
func TestExamples(t *testing.T) {
	for _, name := range []string{"press", "koorbank"} {
		e := newEnv(t)
		e.ok(fmt.Sprintf("apply -f ../../examples/%s.toml", name))
		want, ok := site.ByName(name)
		assert.Assert(t, ok)
		v := e.view()
		assert.DeepEqual(t, v.Customers, want.Customers)
		assert.DeepEqual(t, v.Routes, want.Routes)
		assert.Equal(t, len(v.Services), len(want.Services))
		for _, s := range want.Services {
			assert.Assert(t, len(v.Services[s.Name].SLOs) > 0, s.Name)
		}
		for i, z := range want.Zones {
			assert.Equal(t, v.Fleet.Zones[i].Name, z)
		}
		for rule, imp := range want.Importance {
			assert.Equal(t, v.Importance[rule].Level, imp.Level)
		}
	}
}

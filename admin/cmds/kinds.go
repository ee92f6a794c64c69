package cmds

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/model"
)

func (c *cli) customerCommand() *cobra.Command {
	o := &object[model.Customer]{
		kind: model.KindCustomer, short: "Manage customers and their rate and burst over the whole fleet",
		examples: map[string]string{
			"create": "  admin customer create theatre --rate 300 --burst 600 --label size=large --wait",
			"set":    "  admin customer set theatre --rate 400\n  admin customer set theatre --label tier=gold --label size --base 17",
			"list":   "  admin customer list --output json",
			"delete": "  admin customer delete theatre --id ticket-4711",
		},
		all:    func(v *config.View) map[string]model.Customer { return v.Customers },
		header: []string{"RATE", "BURST", "LABELS"},
		cells:  func(m model.Customer) []any { return []any{m.Rate, m.Burst, labelText(m.Labels)} },
		warn:   warnKeys,
	}
	o.flags = func(cmd *cobra.Command) func(*model.Customer) error {
		rate := cmd.Flags().Float64("rate", 0, "requests per second over the whole fleet")
		burst := cmd.Flags().Int64("burst", 0, "requests at once over the whole fleet")
		labels := labelFlag(cmd)
		return func(m *model.Customer) (err error) {
			copyIfChanged(cmd, "rate", &m.Rate, rate)
			copyIfChanged(cmd, "burst", &m.Burst, burst)
			m.Labels, err = labels(m.Labels)
			return err
		}
	}
	return o.command(c)
}

// warnKeys returns a warning if the customer has keys that are not withdrawn: they
// become valid again if the customer is deleted and created again.
func warnKeys(v *config.View, customer string) string {
	n := 0
	for _, k := range v.Keys {
		if k.Customer == customer && !k.Revoked {
			n++
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("warning: %d keys of customer %s are not withdrawn; they work again if the customer is created again\n", n, show.Clean(customer))
}

func (c *cli) serviceCommand() *cobra.Command {
	o := &object[model.Service]{
		kind: model.KindService, short: "Manage services, their labels and objectives", upsert: true,
		examples: map[string]string{
			"set":    "  admin service set archive --slo objective=0.99,latencyMs=500 --slo importance=0,objective=0.999",
			"list":   "  admin service list",
			"delete": "  admin service delete archive",
		},
		all:    func(v *config.View) map[string]model.Service { return v.Services },
		header: []string{"LABELS", "SLOS"},
		cells:  func(m model.Service) []any { return []any{labelText(m.Labels), sloText(m.SLOs)} },
	}
	o.flags = func(cmd *cobra.Command) func(*model.Service) error {
		slos := cmd.Flags().StringArray("slo", nil, "`objective=F[,latencyMs=N][,importance=N]`; may be repeated; replaces all objectives; none removes them")
		learn := cmd.Flags().Bool("learn-capacity", false, "learn the capacity of upstreams also without a reported work time")
		labels := labelFlag(cmd)
		return func(m *model.Service) (err error) {
			if cmd.Flags().Changed("learn-capacity") {
				m.LearnCapacity = *learn
			}
			if cmd.Flags().Changed("slo") {
				if m.SLOs, err = parseSLOs(*slos); err != nil {
					return err
				}
			}
			m.Labels, err = labels(m.Labels)
			return err
		}
	}
	return o.command(c)
}

func parseSLOs(list []string) ([]model.SLO, error) {
	var out []model.SLO
	for _, text := range list {
		if text == "none" {
			continue
		}
		var s model.SLO
		for _, part := range strings.Split(text, ",") {
			name, value, _ := strings.Cut(part, "=")
			var err error
			switch name {
			case "objective":
				s.Objective, err = strconv.ParseFloat(value, 64)
			case "latencyMs":
				s.LatencyMS, err = strconv.ParseInt(value, 10, 64)
			case "importance":
				var n int
				n, err = strconv.Atoi(value)
				s.Importance = &n
			default:
				err = errors.New("the names are objective, latencyMs and importance")
			}
			if err != nil {
				return nil, fmt.Errorf("--slo %q: %w", text, err)
			}
		}
		out = append(out, s)
	}
	return out, nil
}

func sloText(slos []model.SLO) string {
	var parts []string
	for _, s := range slos {
		text := fmt.Sprintf("%g", s.Objective)
		if s.LatencyMS > 0 {
			text += fmt.Sprintf(" within %d ms", s.LatencyMS)
		}
		if s.Importance != nil {
			text += fmt.Sprintf(" at importance %d", *s.Importance)
		}
		parts = append(parts, text)
	}
	return cmp.Or(strings.Join(parts, "; "), "-")
}

func (c *cli) routeCommand() *cobra.Command {
	o := &object[model.Route]{
		kind: model.KindRoute, short: "Manage routes", upsert: true,
		examples: map[string]string{
			"set":    "  admin route set order --pattern 'POST /orders' --service orders --at-most-once --label class=critical\n  admin route set designs --open --open-rate 200 --open-burst 200",
			"list":   "  admin route list",
			"delete": "  admin route delete order --wait",
		},
		all:    func(v *config.View) map[string]model.Route { return v.Routes },
		header: []string{"PATTERN", "SERVICE", "OPTIONS", "LABELS"},
		cells:  func(m model.Route) []any { return []any{m.Pattern, m.Service, routeText(m), labelText(m.Labels)} },
		flags:  routeFlags,
	}
	return o.command(c)
}

func routeFlags(cmd *cobra.Command) func(*model.Route) error {
	var r model.Route
	f := cmd.Flags()
	f.StringVar(&r.Pattern, "pattern", "", "pattern of net/http.ServeMux, such as 'GET /runs/{id}'")
	f.StringVar(&r.Service, "service", "", "service that serves the route")
	f.BoolVar(&r.Open, "open", false, "needs no key")
	f.Float64Var(&r.OpenRate, "open-rate", 0, "requests per second without a key, over the fleet")
	f.Int64Var(&r.OpenBurst, "open-burst", 0, "requests at once without a key, over the fleet")
	f.BoolVar(&r.Internal, "internal", false, "reachable by chain calls only")
	f.BoolVar(&r.Idempotent, "idempotent", false, "may be repeated whatever its method")
	f.BoolVar(&r.AtMostOnce, "at-most-once", false, "requires an Idempotency-Key")
	f.Int64Var(&r.TimeoutMS, "timeout-ms", 0, "milliseconds until the answer is due; 0 for the default")
	f.IntVar(&r.Attempts, "attempts", 0, "attempts over the whole chain; 0 for the default")
	f.Int64Var(&r.MaxConfigAgeMS, "max-config-age-ms", 0, "refuse when the configuration is older; 0 for never")
	labels := labelFlag(cmd)
	return func(m *model.Route) (err error) {
		copyIfChanged(cmd, "pattern", &m.Pattern, &r.Pattern)
		copyIfChanged(cmd, "service", &m.Service, &r.Service)
		copyIfChanged(cmd, "open", &m.Open, &r.Open)
		copyIfChanged(cmd, "open-rate", &m.OpenRate, &r.OpenRate)
		copyIfChanged(cmd, "open-burst", &m.OpenBurst, &r.OpenBurst)
		copyIfChanged(cmd, "internal", &m.Internal, &r.Internal)
		copyIfChanged(cmd, "idempotent", &m.Idempotent, &r.Idempotent)
		copyIfChanged(cmd, "at-most-once", &m.AtMostOnce, &r.AtMostOnce)
		copyIfChanged(cmd, "timeout-ms", &m.TimeoutMS, &r.TimeoutMS)
		copyIfChanged(cmd, "attempts", &m.Attempts, &r.Attempts)
		copyIfChanged(cmd, "max-config-age-ms", &m.MaxConfigAgeMS, &r.MaxConfigAgeMS)
		m.Labels, err = labels(m.Labels)
		return err
	}
}

func routeText(r model.Route) string {
	var parts []string
	add := func(ok bool, format string, args ...any) {
		if ok {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(r.Open, "open %g/s burst %d", r.OpenRate, r.OpenBurst)
	add(r.Internal, "internal")
	add(r.Idempotent, "idempotent")
	add(r.AtMostOnce, "at most once")
	add(r.TimeoutMS > 0, "timeout %d ms", r.TimeoutMS)
	add(r.Attempts > 0, "attempts %d", r.Attempts)
	add(r.MaxConfigAgeMS > 0, "configuration at most %d ms old", r.MaxConfigAgeMS)
	return cmp.Or(strings.Join(parts, ", "), "-")
}

func (c *cli) importanceCommand() *cobra.Command {
	o := &object[model.Importance]{
		kind: model.KindImportance, short: "Manage the rules that assign an importance to requests", upsert: true,
		examples: map[string]string{
			"set":    "  admin importance set critical --order 1 --routes class=critical --level 0\n  admin importance set partners --order 5 --customers 'size in (large)' --level 3",
			"list":   "  admin importance list",
			"delete": "  admin importance delete partners",
		},
		all:    func(v *config.View) map[string]model.Importance { return v.Importance },
		header: []string{"ORDER", "LEVEL", "ROUTES", "SERVICES", "CUSTOMERS"},
		cells: func(m model.Importance) []any {
			return []any{m.Order, m.Level, cmp.Or(m.Routes, "-"), cmp.Or(m.Services, "-"), cmp.Or(m.Customers, "-")}
		},
	}
	o.flags = func(cmd *cobra.Command) func(*model.Importance) error {
		var i model.Importance
		f := cmd.Flags()
		f.IntVar(&i.Order, "order", 0, "the matching rule with the lowest order wins")
		f.IntVar(&i.Level, "level", model.DefaultLevel, fmt.Sprintf("importance from 0, the most important, to %d", model.MaxLevel))
		f.StringVar(&i.Routes, "routes", "", "label `selector` of routes")
		f.StringVar(&i.Services, "services", "", "label `selector` of services")
		f.StringVar(&i.Customers, "customers", "", "label `selector` of customers")
		return func(m *model.Importance) error {
			copyIfChanged(cmd, "order", &m.Order, &i.Order)
			copyIfChanged(cmd, "level", &m.Level, &i.Level)
			copyIfChanged(cmd, "routes", &m.Routes, &i.Routes)
			copyIfChanged(cmd, "services", &m.Services, &i.Services)
			copyIfChanged(cmd, "customers", &m.Customers, &i.Customers)
			return nil
		}
	}
	return o.command(c)
}

func (c *cli) fleetCommand() *cobra.Command {
	o := &object[model.Fleet]{
		kind: model.KindFleet,
		all:  func(v *config.View) map[string]model.Fleet { return map[string]model.Fleet{config.FleetName: v.Fleet} },
	}
	return group("fleet", "Manage the weights of the availability zones", c.fleetSet(o), c.fleetList())
}

func (c *cli) fleetSet(o *object[model.Fleet]) *cobra.Command {
	flags := &changeFlags{}
	cmd := &cobra.Command{
		Use:   "set",
		Short: "Set the weights of zones; others keep theirs",
		Long: `Set the weights of zones; others keep theirs. A weight is the zone's part of every
customer's rate and burst. The weights add up to at most 1. To raise one, lower the
others first, in a change of its own that is in force everywhere (--wait).`,
		Example: "  admin fleet set --zone bole=0.3 --zone kirkos=0.3 --zone arada=0.3 --wait\n  admin fleet set --zone lideta=0.1",
		Args:    cobra.NoArgs,
	}
	zones := cmd.Flags().StringArray("zone", nil, "`name=weight` of a zone, or a name alone to remove the zone; may be repeated")
	flags.add(cmd)
	base := baseFlag(cmd)
	applyEdit := func(m *model.Fleet) error { return setZones(m, *zones) }
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if len(*zones) == 0 {
			return errors.New("set at least one zone with --zone")
		}
		return c.edit(cmd, flags, func(ctx context.Context, e *editor) error {
			return o.write(ctx, e, config.FleetName, objectEdit[model.Fleet]{applyEdit: applyEdit, base: base(cmd)})
		})
	}
	return cmd
}

// setZones sets or removes zone weights. It replaces m.Zones by a modified copy,
// because the configuration view shares the slice.
func setZones(m *model.Fleet, list []string) error {
	var out []model.ZoneWeight
	out = append(out, m.Zones...)
	for _, text := range list {
		name, value, keep := strings.Cut(text, "=")
		at := -1
		for i, z := range out {
			if z.Name == name {
				at = i
			}
		}
		if !keep {
			if at < 0 {
				continue
			}
			out = append(out[:at], out[at+1:]...)
			continue
		}
		weight, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("--zone %q: the weight is not a number", text)
		}
		if at < 0 {
			out = append(out, model.ZoneWeight{Name: name})
			at = len(out) - 1
		}
		out[at].Weight = weight
	}
	m.Zones = out
	return nil
}

func (c *cli) fleetList() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the zones and their weights", Example: "  admin fleet list", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := c.view(cmd)
			if err != nil {
				return err
			}
			rows := &show.Rows{Header: []string{"ZONE", "WEIGHT"}}
			for _, z := range v.Fleet.Zones {
				rows.Add(z.Name, z.Weight)
			}
			rev := v.Revisions[config.ObjectID{Kind: model.KindFleet, Name: config.FleetName}]
			return c.write(listed[model.Fleet]{Name: config.FleetName, Revision: rev, Object: v.Fleet}, rows)
		},
	}
}

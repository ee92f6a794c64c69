package matrix

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"dogwoodsill.org/bench/load"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
)

// Durations of the phases of a cell: before, during and after the faults.
const (
	beforeTime = 500 * time.Millisecond
	duringTime = 1500 * time.Millisecond
	afterTime  = time.Second
	// settleLimit is the maximum time until the deployment has recovered. Epochs,
	// leases and the detection of unreachable peers take several seconds each.
	settleLimit = 30 * time.Second
)

const (
	revokedCustomer = "market"
	lookupFraction  = 0.3 // fraction of each customer's rate
	ordersPerSecond = 4   // from each customer, on each of two streams
	changeInterval  = 200 * time.Millisecond
)

// Result is the outcome of one cell.
type Result struct {
	Faults   []string
	Sent     int
	OK       int
	Refused  int      // with executed "no"
	Unknown  int      // with executed "unknown" or without a response
	Broken   []string // invariants that were violated
	Settled  time.Duration
	Duration time.Duration
}

// cell is one run of a deployment under a set of faults.
type cell struct {
	run       *site.Running
	client    *http.Client
	faults    []Fault
	spans     []span // when each fault is active
	began     time.Time
	revoked   string
	raced     bool
	changeIDs []string // identifiers of the concurrent changes
}

// span is the time in which a fault is active, relative to the start of the
// traffic.
type span struct {
	from, to time.Duration
}

// simultaneousSpans returns equal spans for n faults.
func simultaneousSpans(n int) []span {
	spans := make([]span, n)
	for i := range spans {
		spans[i] = span{beforeTime, beforeTime + duringTime}
	}
	return spans
}

// runCell runs the deployment under faults that are active in the given spans,
// and checks the invariants.
func runCell(ctx context.Context, faults []Fault, spans []span) (Result, error) {
	r, err := site.Start(ctx, site.Press())
	if err != nil {
		return Result{}, err
	}
	defer r.Stop()
	c := &cell{run: r, client: load.Client(), faults: faults, spans: spans, began: time.Now()}
	defer c.client.CloseIdleConnections()
	if err := r.Await(ctx, func() bool { return c.callerKeysAccepted(ctx) }); err != nil {
		return Result{}, err
	}
	res := Result{}
	for _, f := range faults {
		res.Faults = append(res.Faults, f.Name)
	}
	rep, err := c.exercise(ctx)
	if err != nil {
		return res, err
	}
	healed := time.Now()
	broken := c.settle(ctx)
	res.Settled = time.Since(healed)
	res.count(rep.Outcomes)
	res.Broken = append(c.invariants(rep.Outcomes), broken...)
	res.Duration = time.Since(c.began)
	return res, nil
}

// exercise sends requests and configuration changes while the faults are
// injected and healed.
func (c *cell) exercise(ctx context.Context) (load.Report, error) {
	streams, err := c.streams(ctx)
	if err != nil {
		return load.Report{}, err
	}
	var wg sync.WaitGroup
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { c.changeConfig(stop) })
	var faultErr error
	wg.Go(func() { faultErr = c.injectAndHeal(ctx) })
	rep := load.Run(ctx, c.client, streams, beforeTime+duringTime+afterTime)
	cancel()
	wg.Wait()
	return rep, faultErr
}

// injectAndHeal injects and heals each fault at its time, one step after the
// other.
func (c *cell) injectAndHeal(ctx context.Context) error {
	type step struct {
		at           time.Duration
		fault        Fault
		run          func(ctx context.Context, c *cell) error
		errorAllowed func() bool // reports whether an error is allowed
	}
	var steps []step
	for i, f := range c.faults {
		steps = append(steps,
			step{c.spans[i].from, f, f.Inject, c.logFault},
			step{c.spans[i].to, f, f.Heal, func() bool { return false }})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	began := time.Now()
	for _, s := range steps {
		sleep(ctx, s.at-time.Since(began))
		if s.run == nil {
			continue
		}
		if err := s.run(ctx, c); err != nil && !s.errorAllowed() {
			return fmt.Errorf("%s: %w", s.fault.Name, err)
		}
	}
	return nil
}

// logFault reports whether a fault of the cell affects the platform's log, so
// that the operators' own appends may fail.
func (c *cell) logFault() bool {
	return slices.ContainsFunc(c.faults, func(f Fault) bool {
		return strings.HasPrefix(f.Name, "log") || strings.HasPrefix(f.Name, "append")
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *cell) streams(ctx context.Context) ([]load.Stream, error) {
	factor, retries := 1.0, 0
	for _, f := range c.faults {
		factor *= max(1, f.Load)
		retries = max(retries, f.Repeat)
	}
	var urls []string
	for _, n := range c.run.Nodes {
		urls = append(urls, "http://"+n.Addrs().Callers)
	}
	var out []load.Stream
	for _, name := range slices.Sorted(maps.Keys(c.run.Site.Customers)) {
		keys, err := c.run.IssueIdempotencyKeys(ctx, c.client, c.run.Nodes[len(out)%len(urls)], name, 20)
		if err != nil {
			return nil, err
		}
		out = append(out,
			load.Stream{
				Name: name, Key: c.run.Keys[name], Kind: "lookup", BaseURLs: urls, Retries: retries,
				Rate: c.run.Site.Customers[name].Rate * lookupFraction * factor,
				Make: func(i int) load.Request {
					return load.Request{ID: fmt.Sprintf("%s/lookup/%d", name, i), Method: http.MethodGet, Path: fmt.Sprint("/runs/", i)}
				},
			},
			c.orders(name, "issued", urls, retries, func(i int) string { return keys[i%len(keys)] }),
			c.orders(name, "caller", urls, retries, callerKeys()),
		)
	}
	return out, nil
}

// orders returns a stream that sends each order twice, to different nodes, with
// the same idempotency key.
func (c *cell) orders(name, kind string, urls []string, retries int, key func(i int) string) load.Stream {
	return load.Stream{
		Name: name, Key: c.run.Keys[name], Kind: "order", BaseURLs: urls, Retries: retries, Rate: ordersPerSecond,
		Make: func(i int) load.Request {
			return load.Request{
				ID: fmt.Sprintf("%s/order/%s/%d", name, kind, i/2), Method: http.MethodPost, Path: "/orders",
				Body: "200 stubs", Idem: key(i / 2),
			}
		},
	}
}

// callerKeys returns a function that maps the number of an order to a UUIDv7. The
// same number always gives the same UUID.
func callerKeys() func(i int) string {
	var mu sync.Mutex
	keys := map[int]string{}
	return func(i int) string {
		mu.Lock()
		defer mu.Unlock()
		if keys[i] == "" {
			keys[i] = uuid.Must(uuid.NewV7()).String()
		}
		return keys[i]
	}
}

// changeConfig publishes a change of one object every changeInterval. A change may
// fail; the next one is then rejected because its base is wrong, which is
// correct behaviour.
func (c *cell) changeConfig(ctx context.Context) {
	tick := time.NewTicker(changeInterval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			svc := model.Service{Labels: map[string]string{"turn": fmt.Sprint(i)}}
			_ = c.run.Publish(ctx, model.KindService, "archive", svc)
		}
	}
}

// appendConflictingChanges appends two changes of one object with the same base.
func (c *cell) appendConflictingChanges(ctx context.Context) error {
	var records [][]byte
	for i := range 2 {
		body, err := json.Marshal(model.Customer{Rate: float64(10 + i), Burst: 20})
		if err != nil {
			return err
		}
		id := uuid.NewString()
		c.changeIDs = append(c.changeIDs, id)
		rec, err := json.Marshal(config.Record{Change: &config.Change{ID: id, Kind: model.KindCustomer, Name: "rival", Body: body}})
		if err != nil {
			return err
		}
		records = append(records, rec)
	}
	_, err := c.run.Client.Append(ctx, logsvc.StreamConfig, records...)
	return err
}

func (r *Result) count(list []load.Outcome) {
	for _, o := range list {
		r.Sent++
		switch {
		case o.OK():
			r.OK++
		case o.Executed == refuse.NotExecuted:
			r.Refused++
		default:
			r.Unknown++
		}
	}
}

package claim_test

import (
	"fmt"
	"time"

	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
)

// A request with an issued key runs once; the repeated request receives the
// stored response.
func Example() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	issuer, err := claim.NewIssuer("10.0.0.1:7000", 42, now)
	if err != nil {
		fmt.Println(err)
		return
	}
	table := claim.NewTable(issuer, now)
	keys, refusal := issuer.Issue(now, "abyssinia", 1)
	if refusal != nil {
		fmt.Println(refusal)
		return
	}
	req := &claim.Request{
		Key:         keys[0],
		Route:       "orders",
		Fingerprint: claim.Fingerprint{Method: "POST", Path: "/orders", Length: 120},
		Call:        model.Call{Root: "r1", Customer: "abyssinia", Attempts: 3, Deadline: now.Add(time.Second)},
	}

	d := table.Claim(now, claim.Ownership{}, req)
	fmt.Println("run:", d.Verdict == claim.Run, "attempts:", d.Ticket.Attempts)
	if refusal := d.Ticket.Dispatch(now, claim.Ownership{}); refusal != nil {
		fmt.Println(d.Ticket.Release(d.Ticket.Attempts, refusal))
		return
	}
	d.Ticket.Finish(now, &claim.Response{Status: 201, Body: []byte("order 7")})

	d = table.Claim(now, claim.Ownership{}, req)
	fmt.Println("repeat:", d.Response.Status, string(d.Response.Body))

	req.Fingerprint.Length = 121
	fmt.Println(table.Claim(now, claim.Ownership{}, req).Refusal)
	// Output:
	// run: true attempts: 3
	// repeat: 201 order 7
	// idempotency-key-invalid: the key was used before for a request with a different body length (executed: unknown)
}

func ExampleParse() {
	for _, s := range []string{
		`"018cc251-f400-7000-8000-000000000001"`,
		"018cc251-f400-4000-8000-000000000001",
	} {
		key, err := claim.Parse(s)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(key, key.Time().UTC().Format(time.RFC3339))
	}
	// Output:
	// 018cc251-f400-7000-8000-000000000001 2024-01-01T00:00:00Z
	// idempotency key: UUID has version 4; the time can be read from version 7 only
}

// A new owner that can't tell whether an earlier owner ran a key refuses with
// an unknown outcome.
func ExampleTable_Claim_successor() {
	now := time.UnixMilli(1_704_067_200_000)
	issuer, _ := claim.NewIssuer("10.0.0.2:7000", 1, now)
	table := claim.NewTable(issuer, now)
	key, _ := claim.Parse("018cc251-f400-7000-8000-000000000001") // its time equals now
	own := claim.Ownership{Owner: true, LeaseValid: true, ExclusiveSince: now}
	d := table.Claim(now, own, &claim.Request{Key: key, Route: "orders"})
	fmt.Println(d.Refusal.Reason == refuse.OutcomeUnknown, d.Refusal.Executed)
	// Output: true unknown
}

package quota

import "time"

// LoanID identifies a loan by the borrowing process and by the number that it gave
// the request.
type LoanID struct {
	Borrower    string `msgpack:"borrower"`
	Incarnation uint64 `msgpack:"incarnation"`
	Seq         uint64 `msgpack:"seq"`
}

// LoanReport reports the use of one loan so far. Both totals only grow, so repeated
// and reordered reports are harmless.
type LoanReport struct {
	Seq      uint64 `msgpack:"seq"`
	Spent    Amount `msgpack:"spent"`
	Returned Amount `msgpack:"returned"`
}

// BorrowRequest asks the holder of a share for a loan and reports the use of earlier
// loans of the share.
type BorrowRequest struct {
	//lint:ignore U1000 msgpack reads the field by reflection; arrays are shorter than maps
	_msgpack struct{} `msgpack:",as_array"`

	ShareID
	LoanID
	BorrowerZone string `msgpack:"borrowerZone"`
	Amount       Amount `msgpack:"amount"`  // 0 if the request only carries reports
	Urgent       bool   `msgpack:"urgent"`  // a request waits for a token, so any fraction of the amount helps
	Demand       Amount `msgpack:"demand"`  // estimated demand of the borrower per second
	Collect      bool   `msgpack:"collect"` // the bucket should collect the capacity of its group
	Whole        bool   `msgpack:"whole"`   // fractions of a token are of no use
	// MaxValid bounds the validity of a loan of the whole amount; 0 for no bound. A loan
	// that is used at once and ends soon need not be reported.
	MaxValid time.Duration `msgpack:"maxValid"`
	// MaxDelay is how long an urgent request can wait for tokens that have not accrued
	// yet. It is 0 while the borrower can ask other holders.
	MaxDelay time.Duration `msgpack:"maxDelay"`
	Reports  []LoanReport  `msgpack:"reports"`
}

// BorrowReply is the reply to a BorrowRequest. If it is lost, the granted tokens stay
// unused until the loan expires at the holder, and the borrower counts the request as
// lost. No tokens are created.
type BorrowReply struct {
	//lint:ignore U1000 msgpack reads the field by reflection; arrays are shorter than maps
	_msgpack struct{} `msgpack:",as_array"`

	ShareID
	Seq      uint64 `msgpack:"seq"`
	IsHolder bool   `msgpack:"holder"` // false if the node does not hold the share or has no valid lease
	Grant    Amount `msgpack:"grant"`
	// Valid is how long the loan may be used, measured from the sending of the
	// request.
	Valid time.Duration `msgpack:"valid"`
	// Alone reports that the holder has not collected the capacity of all later shares of
	// the group, so that their holders may have tokens.
	Alone bool `msgpack:"alone"`
	// Report asks the borrower to report the use of the loan at once, because the burst is so
	// low that an outstanding token keeps the bucket from refilling.
	Report bool `msgpack:"report"`
	// Spare is the amount that the holder can still lend to the borrower's zone.
	Spare Amount `msgpack:"spare"`
	// FillRatio is Spare as a fraction of the burst of the share.
	FillRatio float64 `msgpack:"fill"`
	// RetryAfter is how long to wait before the next request after a grant of less
	// than the requested amount.
	RetryAfter time.Duration `msgpack:"retry"`
	// Delay is how long after the reply the granted tokens may be used. They have been
	// reserved and accrue until then.
	Delay time.Duration `msgpack:"delay"`
	// NextToken is when a caller whose request is refused finds a token, after a grant
	// of less than the requested amount.
	NextToken time.Duration `msgpack:"next"`
}

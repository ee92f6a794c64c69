package quota

import "time"

// LoanID names a loan: the borrowing process and the number that it gave the
// request.
type LoanID struct {
	Borrower    string `msgpack:"borrower"`
	Incarnation uint64 `msgpack:"incarnation"`
	Seq         uint64 `msgpack:"seq"`
}

// LoanReport is the use of one loan so far. Both sums only grow, so that repeated
// and reordered reports are harmless.
type LoanReport struct {
	Seq      uint64 `msgpack:"seq"`
	Spent    Amount `msgpack:"spent"`
	Returned Amount `msgpack:"returned"`
}

// BorrowRequest asks the holder of a share for a loan and reports the use of
// earlier loans from it.
type BorrowRequest struct {
	ShareID
	LoanID
	BorrowerZone string       `msgpack:"borrowerZone"`
	Amount       Amount       `msgpack:"amount"` // 0 if the request only reports
	Urgent       bool         `msgpack:"urgent"` // a request waits: any part of the amount helps
	Demand       Amount       `msgpack:"demand"` // tokens per second that the borrower needs
	Reports      []LoanReport `msgpack:"reports"`
}

// BorrowReply is the answer. A lost reply wastes its grant and nothing else.
type BorrowReply struct {
	ShareID
	Seq      uint64 `msgpack:"seq"`
	IsHolder bool   `msgpack:"holder"` // false if the node doesn't hold the share or lacks its lease
	Grant    Amount `msgpack:"grant"`
	// Valid is how long the loan may be used, counted from the sending of the
	// request.
	Valid time.Duration `msgpack:"valid"`
	// Spare is what the holder could still lend to the borrower's zone.
	Spare Amount `msgpack:"spare"`
	// FillRatio is Spare as a part of the burst of the share.
	FillRatio float64 `msgpack:"fill"`
	// RetryAfter is how long to wait before the next request after a short grant.
	RetryAfter time.Duration `msgpack:"retry"`
}

// Package quota holds each customer to its rate and burst over the whole fleet
// with conserved tokens.
//
// Split divides a customer's rate and burst into shares by zone and bucket
// slot. Each share is a token Bucket at its Holder, which lends tokens to the
// Pools of the nodes that admit requests. The level of a bucket plus its
// outstanding loans never exceeds the burst of the share, and a grant is
// deducted before it is sent, so that lost messages waste tokens and never
// create any. Over all shares at most burst + rate*t requests are admitted in
// any interval t, as long as no share has two live holders (package epoch).
//
// A loan counts at the borrower from the sending of the request and at the
// holder from the grant, so no clocks are compared. It ends with the holder's
// zone lease at the latest: a successor needs no further delay for the loans of
// the holder before it. Both sides check the time at each use.
//
// The types of this package are not safe for concurrent use.
package quota

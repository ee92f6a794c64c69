// Package quota limits each customer to its rate and burst over the whole fleet.
// It is a distributed token bucket: each admitted request costs one token, and
// nodes borrow tokens from the nodes that hold the buckets.
//
// A customer in this package is any account that has a rate and a burst, see package
// node/tokens. Each zone of a customer has one or two slots, each with a token bucket
// at another node if possible. A share is the fraction of the customer's rate and
// burst that is assigned to one slot; Split computes the shares. The holder of a share is
// the node that keeps its token Bucket and lends tokens from it; the Holder type
// is the set of buckets of one node. A loan is an amount of tokens that a holder
// granted to a node for a limited time. The borrowing node keeps its loans in a
// Pool and takes the token of each request from there. Package epoch decides
// which node owns a share in an epoch and when it may start to lend.
//
// A customer with a low burst has shares of a few tokens, which would be full in one zone
// and empty in another. They form groups: the holder of the first share of a group
// collects the capacity of the others, their rate, burst and tokens, by loans that it
// renews, see Groups. What the customer may use then doesn't depend on the number of
// zones and nodes. When the loans end, as after a failure or a cut, each holder uses its
// own share again.
//
// The level of a bucket plus its outstanding loans never exceeds the burst of the
// share. A grant is deducted before the reply is sent, so a lost message wastes
// tokens but never creates any. Over all shares, at most burst + rate*t requests
// are admitted in any interval t, as long as no two nodes hold a share with a valid
// lease at the same time, which package epoch ensures.
//
// The borrower measures the lifetime of a loan from the sending of the request,
// the holder from the grant, so clocks of different nodes are never compared. A
// loan expires no later than the holder's zone lease, so the next holder needs no
// further delay for loans of the previous one. Both sides check the expiry at
// each use.
//
// The types of this package are not safe for concurrent use.
package quota

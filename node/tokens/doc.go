// Package tokens holds customers to their rate and burst: it lends tokens of
// the shares that the node holds and borrows tokens for the requests that enter
// at the node.
package tokens

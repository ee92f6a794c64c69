// Package tokens limits accounts to their rate and burst. An account is a customer
// or an open route, whose requests need no key. The package lends tokens of the
// shares that the node holds, and borrows tokens for the requests that enter the
// fleet at this node. Package quota describes shares, loans and pools.
package tokens

// Package keys generates the API keys of customers, computes their digests, and
// finds keys in requests.
package keys

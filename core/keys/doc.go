// Package keys generates the API keys of customers, computes their digests, and
// removes keys from requests.
package keys

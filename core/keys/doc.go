// Package keys creates customers' keys, computes their digests and removes
// them from requests.
package keys

// Package pubsh publishes changes of the configuration for operators.
//
// A Publisher reads the configuration stream, builds changes on the revisions
// that it read, appends them and reads on until the fold decides each of them.
// A lost response of an append is resolved by reading back. A change that is
// not found is appended again with the same identifier, of which the fold
// counts the first record only.
package pubsh

// Package pubsh publishes configuration changes for operators.
//
// A Publisher reads the configuration stream, builds changes based on the
// revisions that it read, appends them and continues to read until the outcome
// of each is known. If the response to an append is lost, it reads the stream
// to find out whether the change was appended. A change that is not found is
// appended again with the same identifier; of several records with the same
// identifier only the first takes effect.
package pubsh

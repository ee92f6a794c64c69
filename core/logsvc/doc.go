// Package logsvc is a client of the platform's append-only log service.
//
// The service stores records in named streams. The offset of a record is one
// higher than that of the record before it in the stream. Records expire after
// the retention time.
package logsvc

// Package logsvc is the client of the platform's append-only log service.
//
// The service keeps named streams of records. A record has an offset that
// grows by one with each record. Records expire after the retention time.
package logsvc

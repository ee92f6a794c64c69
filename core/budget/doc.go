// Package budget bounds the memory that callers can occupy in a process. A Pool holds the bytes
// that all connections together may use. It is made for the load in which callers open many
// connections, send heads or bodies that never end, and keep what they hold by sending a few
// bytes now and then. When the pool is nearly full, the connections that hold memory without
// making progress give way first, then those of the customer that holds most. Callers that
// send ordinary requests are served meanwhile.
package budget

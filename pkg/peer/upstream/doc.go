// Package upstream sends HTTP/1.1 requests over connections that it manages
// itself, one request to one connection, and reports for each failure whether
// any byte of the request can have reached the other end.
//
// Messages are written and read by net/http. Its transport is not used: it
// repeats requests on its own, and hands each one between three goroutines.
package upstream

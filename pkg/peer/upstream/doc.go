// Package upstream sends HTTP/1.1 requests over its own connection pools, one
// request at a time per connection, and reports for each failure whether any
// byte of the request may have reached the server.
//
// It uses net/http to write requests and read responses, but not
// http.Transport, which retries requests on its own and passes each one between
// three goroutines.
package upstream

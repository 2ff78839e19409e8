// Package upstream sends HTTP requests over connections that it manages
// itself, one request to one connection, and reports for each failure whether
// any byte of the request can have reached the other end.
//
// It uses http.ClientConn rather than the round trip of http.Transport,
// because the latter repeats requests on its own.
package upstream

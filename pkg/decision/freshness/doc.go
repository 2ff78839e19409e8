// Package freshness tracks how recent an instance's copy of the platform's feeds is. It
// does no I/O, and the time is always an argument.
package freshness

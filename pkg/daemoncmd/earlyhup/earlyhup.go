// Package earlyhup makes the process ignore SIGHUP from before the Go runtime
// starts. Package initialization takes some milliseconds, during which the program
// cannot catch signals yet, and by default SIGHUP terminates the process. A later
// call of signal.Notify catches the signal as usual.
package earlyhup

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_sighup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"

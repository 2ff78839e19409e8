package telemetry

import "fmt"

// droppedLine returns a log line that reports n dropped lines.
func droppedLine(n int) string {
	return fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"lines dropped\",\"count\":%d}\n", n)
}

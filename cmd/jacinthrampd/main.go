// Command jacinthrampd runs one instance of the traffic steering system.
package main

import "github.com/jacinthramp/jacinthramp/pkg/daemoncmd"

func main() { daemoncmd.Main(openPlatform) }

// Command jacinthrampd is one instance of the traffic steering system.
package main

func main() {}

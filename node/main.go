// Command node is the process that runs beside each upstream instance.
package main

func main() {}

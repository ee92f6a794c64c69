// Command bench runs the demo, the measurements and the load tool.
package main

func main() {}

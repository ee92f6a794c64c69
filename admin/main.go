// Command admin is the command line of the operators.
package main

func main() {}

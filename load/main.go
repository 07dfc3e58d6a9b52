// Command load sends open-loop load and checks every answer.
package main

func main() {}

// Command bamboohill drives the administration API.
package main

func main() {}

// Command jasminewing routes language-model traffic.
package main

func main() {}

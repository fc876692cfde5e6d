// Command tillerfall is the product's one binary.
package main

func main() {}

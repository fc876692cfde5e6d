// Command tillerlab runs the stand-ins, the embedded fleet and the experiments.
package main

func main() {}

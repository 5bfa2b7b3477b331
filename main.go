// Command bergamotrudder serves multi-stage model pipelines.
package main

func main() {}

// Package cli implements the command line of bergamotrudder.
//
// The exit code is 0 for success, 1 for a failed operation and 2 for a usage error
// or invalid input. Results go to standard output, with --json as one JSON value;
// errors go to standard error.
//
// # Usage
//
// The program's main function supplies the functions that run the roles. A role
// without a function has no command:
//
//	os.Exit(cli.Main(cli.Runners{Entry: roles.RunEntry, Sidecar: roles.RunSidecar}))
package cli

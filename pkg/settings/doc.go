// Package settings reads the settings of one process: its listen addresses, the sources
// of its secrets and its limits. The configuration of the whole fleet is in package fleet.
//
// A settings file is JSON with comments and trailing commas. An environment variable
// overrides a setting of the file, and a flag of the form name=value overrides both. The
// variable's name is BERGAMOTRUDDER_ followed by the setting's path in upper case with
// underscores: platform.rates.claims is BERGAMOTRUDDER_PLATFORM_RATES_CLAIMS. Lists are
// comma-separated in variables and flags. Settings under a pipeline's name have no
// variable, because pipeline names contain hyphens.
//
// Addresses are IP addresses with a port; host names are rejected, so that no process
// depends on a name service. All faults are reported together, in an *InvalidError with
// file, line, field and allowed range.
//
// # Usage
//
//	e, err := settings.NewEntry(settings.Input{
//		File:    "entry.json",
//		Content: content,
//		Environ: os.Environ(),
//		Flags:   []string{"logLevel=debug"},
//	})
//	listener, err := net.Listen("tcp", e.CallerListen().String())
//
// WriteTable writes every setting with its unit, range and default, from the same table
// that settings are checked against.
package settings

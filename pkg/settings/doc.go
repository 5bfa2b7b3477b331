// Package settings reads the settings of one process: the address it listens on,
// where its secrets are, and its bounds. What the fleet shares is in package fleet.
//
// A settings file is JSON with comments and trailing commas. Each setting can be
// overridden by an environment variable, and that by a flag of the form
// name=value. The variable's name is BERGAMOTRUDDER_ followed by the setting's
// path in upper case with underscores: platform.rates.claims is
// BERGAMOTRUDDER_PLATFORM_RATES_CLAIMS. Lists are comma separated there. Settings
// under a pipeline's name have no variable, because pipeline names contain hyphens.
//
// Addresses are IP numbers with a port; host names are refused, so that no process
// depends on a name service. Every fault is reported at once, in an *InvalidError
// with file, line, field and allowed range.
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
// WriteTable prints every setting with its unit, range and default from the same
// table that Load checks against.
package settings

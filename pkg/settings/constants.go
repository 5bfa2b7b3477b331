package settings

// Bounds of settings and their sources.
const (
	// MaxFileBytes is the largest settings file, in bytes.
	MaxFileBytes = 1 << 20
	// MinSecretBytes is the shortest shared secret or operator key, in bytes.
	MinSecretBytes = 16
	// MaxSecretBytes is the longest secret, key or token, in bytes. Platform tokens are a few KB.
	MaxSecretBytes = 64 << 10
	// MaxBodyBytes is the largest body limit of the callers' API, in bytes.
	MaxBodyBytes = 1 << 20
	// MaxSeedPeers is the largest number of seed peers.
	MaxSeedPeers = 64
)

const (
	// FileVariable is the environment variable that names the settings file.
	FileVariable = "BERGAMOTRUDDER_SETTINGS"
	// variablePrefix starts the name of each environment variable.
	variablePrefix = "BERGAMOTRUDDER_"
	// clientPrefix starts the variables of the command line's client commands, which are no settings.
	clientPrefix = "BERGAMOTRUDDER_CLIENT_"
)

// Units in the table.
const (
	unitSeconds = "s"
	unitCalls   = "calls in flight"
	unitQueued  = "queued requests"
	unitRate    = "calls/s"
	unitBytes   = "bytes"
	unitAddress = "IP:port"
)

package settings

// Limits of settings and their sources.
const (
	// MaxFileBytes is the largest settings file, in bytes.
	MaxFileBytes = 1 << 20
	// MinSecretBytes is the shortest shared secret or operator key, in bytes.
	MinSecretBytes = 16
	// MaxSecretBytes is the longest secret, key or token, in bytes. Platform tokens have a few KB.
	MaxSecretBytes = 64 << 10
	// MaxBodyBytes is the upper limit of the setting maxBodyBytes, in bytes.
	MaxBodyBytes = 1 << 20
	// MaxSeedPeers is the largest number of seed peers.
	MaxSeedPeers = 64
)

const (
	// FileVariable is the environment variable with the path of the settings file.
	FileVariable = "BERGAMOTRUDDER_SETTINGS"
	// variablePrefix is the prefix of the environment variables of settings.
	variablePrefix = "BERGAMOTRUDDER_"
	// clientPrefix is the prefix of the variables of the command line's client commands, which are not settings.
	clientPrefix = "BERGAMOTRUDDER_CLIENT_"
)

// Units of settings, as shown in the table.
const (
	unitSeconds  = "s"
	unitRequests = "requests"
	unitQueued   = "queued requests"
	unitRate     = "calls/s"
	unitBytes    = "bytes"
	unitAddress  = "IP:port"
)

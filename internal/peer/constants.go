package peer

import "time"

// Version is the protocol version; processes of different versions refuse each other.
const Version = 1

// Bounds of the protocol.
const (
	// MaxMessageBytes is the largest rpc message in either direction.
	MaxMessageBytes = 4 << 20
	// MaxCallsPerConnection is the number of calls that one connection may have in progress.
	MaxCallsPerConnection = 4096
	// DialTimeout bounds connecting and the handshake.
	DialTimeout = time.Second
	// WriteTimeout bounds the write of one message, so that a peer that stops
	// reading can't block the callers that share its connection.
	WriteTimeout = 2 * time.Second
	// UnresponsiveTimeout is how long a connection may bring no byte while a call on it
	// runs out of time before it is taken for dead and closed.
	UnresponsiveTimeout = time.Second
	// RedialDelay is how long a failed dial is remembered and answered at once.
	RedialDelay = 100 * time.Millisecond
	// IdleConnectionTimeout closes a connection without calls. An entry calls few others for
	// long, and each open connection takes memory on both sides.
	IdleConnectionTimeout = 2 * time.Minute
	// KeepAlive is the time without bytes after which TCP probes a connection. With
	// Go's 15 s, a connection without calls took 13 B/s at either end.
	KeepAlive = time.Minute
	// ConnectionsPerPeer spreads calls, so that a large message delays fewer others.
	ConnectionsPerPeer = 2
)

const (
	rpcPath       = "/rpc"
	versionHeader = "Bergamotrudder-Version"
	connectedLine = "200 Connected"

	// sweepPeriod is the time between two looks for connections without calls.
	sweepPeriod = 30 * time.Second
	// maxRefusalBytes is how much of a refusal's text is kept.
	maxRefusalBytes = 512
	// idleStreamConnections is the number of idle connections for streams to one process.
	idleStreamConnections = 16
	// idleStreamTimeout closes idle connections for streams.
	idleStreamTimeout = 30 * time.Second
)

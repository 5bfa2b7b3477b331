package peer

import "time"

// Version is the protocol version. Processes of different versions reject each other's
// requests.
const Version = 1

// Limits of the protocol.
const (
	// MaxMessageBytes is the maximum size of an rpc message in either direction.
	MaxMessageBytes = 4 << 20
	// MaxCallsPerConnection is the maximum number of calls in progress on a connection.
	MaxCallsPerConnection = 4096
	// DialTimeout limits the dial together with the handshake.
	DialTimeout = time.Second
	// WriteTimeout limits the write of one message, so that a peer that stops
	// reading can't block the callers that share its connection.
	WriteTimeout = 2 * time.Second
	// UnresponsiveTimeout closes a connection when a call on it times out after at least
	// this time and no byte was received since the call was sent. If only several calls
	// together took that long, no further call uses the connection.
	UnresponsiveTimeout = time.Second
	// retiredTime is how long calls in progress on such a connection may still be answered:
	// the longest time that callers usually wait.
	retiredTime = 20 * time.Second
	// RedialDelay is how long after a failed dial calls fail with its error at once.
	RedialDelay = 100 * time.Millisecond
	// IdleConnectionTimeout closes a connection without calls. An entry calls few processes
	// over a long time, and each open connection takes memory on both sides.
	IdleConnectionTimeout = 2 * time.Minute
	// KeepAlive is the idle time after which TCP probes a connection. With Go's default
	// of 15 s, an idle connection costs 13 B/s at either end.
	KeepAlive = time.Minute
	// ConnectionsPerPeer spreads calls over connections, so that a large message delays
	// fewer other calls.
	ConnectionsPerPeer = 2
)

const (
	rpcPath       = "/rpc"
	versionHeader = "Bergamotrudder-Version"
	connectedLine = "200 Connected"

	// idleCheckPeriod is the interval between checks for idle connections.
	idleCheckPeriod = 30 * time.Second
	// maxHandshakeBytes limits the response to a handshake, and maxHeaderBytes the header of
	// a response that streams.
	maxHandshakeBytes = 8 << 10
	maxHeaderBytes    = 16 << 10
	// maxErrorBodyBytes limits how much of an error response's body is read.
	maxErrorBodyBytes = 512
	// idleStreamConnections is the maximum number of idle connections for streams to one
	// process.
	idleStreamConnections = 16
	// idleStreamTimeout closes idle connections for streams.
	idleStreamTimeout = 30 * time.Second
)

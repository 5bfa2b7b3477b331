// Package peer is the protocol between the system's own processes.
//
// A process listens for HTTP on its peer address. A client that sends
// `CONNECT /rpc` with the shared secret and its protocol version gets the
// connection for net/rpc calls with gob messages; answers that stream use plain
// HTTP on the same listener. Every call is bounded in time by its context, in
// size by MaxMessageBytes and in number by MaxCallsPerConnection.
//
// # Usage
//
//	server := peer.NewServer(secret)
//	err := server.Register("Stage", service)
//	go http.Serve(listener, server)
//
//	client := peer.NewClient(secret, nil)
//	err = client.Call(ctx, "10.0.0.7:7100", "Stage.Run", &request, &reply)
//	if peer.IsNotSent(err) {
//		// The other process never saw the call.
//	}
//
// # Lock order
//
// Client.mu goes before link.mu. Neither is held during a dial or a call.
package peer

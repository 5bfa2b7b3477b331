// Package peer implements the protocol between the system's own processes.
//
// A process listens for HTTP on its peer address. A `CONNECT /rpc` request with the
// shared secret and the protocol version turns the connection into one for net/rpc
// calls with gob messages. Streamed responses use plain HTTP on the same listener.
// The context limits the time of a call, MaxMessageBytes the size of its messages and
// MaxCallsPerConnection the number of calls in progress.
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
//		// The other process did not run the call.
//	}
//
// # Lock order
//
// Client.mu is locked before connection.mu. Neither is held during a dial or a call.
package peer

// Package instance contains what every long-running process of the system uses: its
// incarnation, its log, its metrics, its listeners and its background tasks.
//
// # Usage
//
//	logger := instance.NewLogger("info", os.Stderr)
//	metrics := instance.NewMetrics()
//	server, err := instance.Listen(ctx, "127.0.0.1:7100", handler)
//	go server.Serve()
//	...
//	server.Shutdown(ctx)
package instance
